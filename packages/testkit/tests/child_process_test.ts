/**
 * Tests of child processes: ready lines, signals, and that no process outlives
 * its parent.
 */
import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {SavoryspurError, SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {
  type BalancerProcess,
  ChildProcess,
  ServiceProcess,
  StandIns,
  startStandIn,
} from '../src/index.js';

const clock = new SystemClock();

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

describe('child processes', () => {
  let dir: string;

  beforeEach(async () => {
    dir = await fs.mkdtemp(path.join(os.tmpdir(), 'savoryspur-child-'));
  });

  afterEach(() => fs.rm(dir, {recursive: true}));

  const writeScript = async (text: string) => {
    const script = path.join(dir, 'script.mjs');
    await fs.writeFile(script, text);
    return script;
  };

  it('stops with code 0 on SIGTERM, also while paused', async () => {
    const args = {name: 's'};
    const service = await startStandIn(
      ServiceProcess,
      'service_main',
      args,
      clock,
    );
    service.process.pause();
    const pausedAnswer = fetch(`${service.url}/x`, {
      signal: AbortSignal.timeout(150),
    });
    expect((await Promise.allSettled([pausedAnswer]))[0]?.status).to.equal(
      'rejected',
    );
    service.process.resume();
    expect((await fetch(`${service.url}/x`)).status).to.equal(200);
    service.process.pause();
    const exit = await service.process.stop(clock);
    expect(exit).to.deep.equal({code: 0, signal: null});
  });

  it('fails with the standard error of a process that is never ready', async () => {
    const script = await writeScript('console.error("port in use");');
    const start = ChildProcess.start({name: 'bad', script}, clock);
    const [result] = await Promise.allSettled([start]);
    const error = (result as PromiseRejectedResult).reason as SavoryspurError;
    expect(error).to.be.instanceOf(SavoryspurError);
    expect(error.message).to.include('port in use');
    expect(error.origin.peer).to.equal('bad');
  });

  it('ends a process that ignores SIGTERM when its parent ends', async () => {
    const child = await writeScript(
      'process.on("SIGTERM", () => {}); setInterval(() => {}, 1000);' +
        'console.log(JSON.stringify({ready: true}));',
    );
    const index = path.resolve(import.meta.dirname, '../src/index.js');
    const common = path.resolve(
      import.meta.dirname,
      '../../../common/dist/src/index.js',
    );
    const parent = path.join(dir, 'parent.mjs');
    await fs.writeFile(
      parent,
      `import {ChildProcess} from '${index}';
       import {SystemClock} from '${common}';
       const options = {name: 'c', script: '${child}'};
       const c = await ChildProcess.start(options, new SystemClock());
       console.log(JSON.stringify({ready: true, port: c.pid}));`,
    );
    const started = await ChildProcess.start(
      {name: 'parent', script: parent},
      clock,
    );
    const pid = started.ready.port!;
    expect(isAlive(pid)).to.equal(true);
    await started.stop(clock);
    while (isAlive(pid)) await clock.sleep(10);
  });

  it('ends its stand-ins when the parent is killed', async () => {
    const index = path.resolve(import.meta.dirname, '../src/index.js');
    const script = await writeScript(
      `import {StandIns} from '${index}';
       const {platform} = await StandIns.start();
       const port = platform.process.pid;
       console.log(JSON.stringify({ready: true, port}));`,
    );
    const parent = await ChildProcess.start({name: 'parent', script}, clock);
    const pid = parent.ready.port!;
    expect(isAlive(pid)).to.equal(true);
    await parent.kill();
    while (isAlive(pid)) await clock.sleep(10);
  });

  it('starts and stops all stand-ins, also after one failed to start', async () => {
    const standIns = await StandIns.start({
      engines: [{}, {warm: true}],
      services: [{name: 'a'}],
      proxies: 1,
    });
    const {platform, engines, services, proxies} = standIns;
    const all = [platform, ...engines, ...services, ...proxies];
    const pids = all.map((standIn) => standIn.process.pid);
    const busyPortArgs = {port: platform.port};
    const [failed] = await Promise.allSettled([
      standIns.startEngine(busyPortArgs),
    ]);
    expect(failed?.status).to.equal('rejected');
    await standIns.stop();
    expect(pids.filter((pid) => isAlive(pid))).to.deep.equal([]);
  });

  it('balances over the daemons that are ready', async () => {
    const standIns = await StandIns.start({
      services: [{name: 'a'}, {name: 'b'}],
    });
    const balancer: BalancerProcess = await standIns.startBalancer({
      'check-ms': 20,
    });
    const targets = standIns.services.map(({port}) => ({
      callerPort: port,
      opsPort: port,
    }));
    const call = async () => {
      const answer = await fetch(`${balancer.url}/x`, {
        headers: {connection: 'close'},
      });
      return ((await answer.json()) as {service: string}).service;
    };
    expect((await Promise.allSettled([call()]))[0]?.status).to.equal(
      'rejected',
    );
    await balancer.setDaemons(targets);
    const answeredBy = [await call(), await call()].sort();
    expect(answeredBy).to.deep.equal(['a', 'b']);
    await standIns.services[0]!.setFaults({down: true});
    while ((await balancer.getStats()).ready > 1) await clock.sleep(20);
    expect([await call(), await call()]).to.deep.equal(['b', 'b']);
    await standIns.stop();
  });
});
