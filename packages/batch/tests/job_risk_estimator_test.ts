import {expect} from 'chai';
import {submitItems} from './outcome_checker.js';
import {TestFleet} from './test_fleet.js';

describe('jobs at risk', () => {
  let fleet: TestFleet;

  beforeEach(() => {
    fleet = new TestFleet(1);
  });

  afterEach(() => fleet.stop());

  async function listAtRisk() {
    const risks = fleet.reader.service.listJobsAtRisk();
    return (await fleet.clock.waitSettled(risks))._unsafeUnwrap();
  }

  it('include a job whose rate is too low for its deadline', async () => {
    const {job} = await submitItems(fleet, 100);
    expect(await listAtRisk()).to.deep.equal([]);
    fleet.itemMs = 4 * 3_600_000;
    fleet.start();
    await fleet.clock.waitMs(9 * 3_600_000);
    const [risk] = await listAtRisk();
    expect(risk!.jobId).to.equal(job.id);
    expect(risk!.done).to.be.greaterThan(0);
    expect(risk!.expectedEndMs).to.be.greaterThan(risk!.deadlineMs);
  });

  it('include a job without progress after a quarter of its window', async () => {
    const {job} = await submitItems(fleet, 10);
    await fleet.clock.waitMs(7 * 3_600_000);
    const [risk] = await listAtRisk();
    expect(risk).to.include({jobId: job.id, done: 0, items: 10});
    expect(risk!.expectedEndMs).to.equal(undefined);
  });

  it('do not include a job whose rate is high enough', async () => {
    await submitItems(fleet, 100);
    fleet.itemMs = 60_000;
    fleet.start();
    await fleet.clock.waitMs(300_000);
    expect(await listAtRisk()).to.deep.equal([]);
    const running = await fleet.clock.waitSettled(
      fleet.reader.service.listRunning(10),
    );
    expect(running._unsafeUnwrap().map((row) => row.items)).to.eql([100]);
  });
});
