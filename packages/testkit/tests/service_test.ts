/** Tests of the plain service process: counts of runs, and faults. */
import {SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {ServiceProcess, startStandIn} from '../src/index.js';

const clock = new SystemClock();

describe('service process', () => {
  let service: ServiceProcess;

  beforeEach(async () => {
    const args = {name: 'ledger'};
    service = await startStandIn(ServiceProcess, 'service_main', args, clock);
  });

  afterEach(() => service.stop());

  const call = (callId: string, signal?: AbortSignal) =>
    fetch(`${service.url}/ledger/reorder`, {
      method: 'POST',
      headers: {'x-request-id': `id-${callId}`},
      body: JSON.stringify({callId}),
      signal: signal ?? null,
    });

  it('counts the runs of each call, by body or query', async () => {
    const answer = await call('c1');
    expect(answer.headers.get('x-request-id')).to.equal('id-c1');
    expect(await answer.json()).to.deep.equal({
      service: 'ledger',
      callId: 'c1',
      run: 1,
      method: 'POST',
      path: '/ledger/reorder',
    });
    await fetch(`${service.url}/any?callId=c1`);
    const stats = await service.getStats();
    expect(stats).to.include({runs: 2});
    expect(stats.runsByCall).to.deep.equal({c1: 2});
    expect(stats.requests).to.deep.equal({'id-c1': 1});
  });

  it('loses replies of calls that ran', async () => {
    await service.setFaults({lostReply: {next: 1}});
    const results = await Promise.allSettled([call('c1')]);
    expect(results[0]?.status).to.equal('rejected');
    expect((await service.getStats()).runsByCall).to.deep.equal({c1: 1});
    expect((await call('c2')).status).to.equal(200);
  });

  it('never answers a stalled call after running it', async () => {
    await service.setFaults({stalled: {next: 1}});
    const caller = new AbortController();
    const stalledCall = call('c1', caller.signal).then(
      () => 'answered',
      () => 'aborted',
    );
    while ((await service.getStats()).runs === 0) await clock.sleep(10);
    const wait = clock.sleep(100).then(() => 'pending');
    expect(await Promise.race([stalledCall, wait])).to.equal('pending');
    caller.abort();
    expect(await stalledCall).to.equal('aborted');
  });

  it('answers late, with an error status, or with the id of another request', async () => {
    await service.setFaults({slow: {next: 1}, slowMs: 200});
    const startedAtMs = clock.now();
    await call('c1');
    expect(clock.now() - startedAtMs).to.be.greaterThan(190);
    await service.setFaults({failed: {next: 1}, failedStatus: 418});
    expect((await call('c2')).status).to.equal(418);
    await service.setFaults({crossed: {next: 1}});
    const crossed = await call('c3');
    expect(crossed.headers.get('x-request-id')).not.to.equal('id-c3');
    expect((await service.getStats()).runs).to.equal(3);
  });

  it('does not run calls that it refuses or resets', async () => {
    await service.setFaults({refused: {next: 1}});
    expect((await call('c1')).status).to.equal(503);
    await service.setFaults({down: true});
    const results = await Promise.allSettled([
      call('c2'),
      fetch(`${service.url}/health`),
    ]);
    const statuses = results.map((result) => result.status);
    expect(statuses).to.deep.equal(['rejected', 'rejected']);
    await service.setFaults({down: false});
    expect((await fetch(`${service.url}/health`)).status).to.equal(200);
    expect((await service.getStats()).runs).to.equal(0);
  });
});
