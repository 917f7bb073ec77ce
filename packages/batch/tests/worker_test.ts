import {BatchEvent, ErrorCode} from '@savoryspur/common';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {Fault} from './memory_storage.js';
import {CLEAN_REPORT, readLines, submitItems} from './outcome_checker.js';
import {CHUNK_LEASE_TERM_MS, createItemError, TestFleet} from './test_fleet.js';

/** Number of servers that crash in series while they run the same item. */
const CRASHES = 12;

/** Longest delay after a crash until the item runs again, milliseconds. */
const MAX_RETRY_DELAY_MS = 2500;

describe('batch worker', () => {
  let fleet: TestFleet;

  afterEach(() => fleet.stop());

  it('runs every item of a job once on several hosts', async () => {
    fleet = new TestFleet(3);
    const {job, checker} = await submitItems(fleet, 95);
    fleet.start();
    const ended = await fleet.waitForEnd(job.id);
    expect(ended.status).to.equal('completed');
    expect(ended.request_counts).to.deep.equal({
      total: 95,
      completed: 95,
      failed: 0,
    });
    expect(ended.error_file_id).to.equal(null);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    expect(fleet.startedRuns.length).to.equal(95);
  });

  for (const code of [ErrorCode.TIMEOUT, ErrorCode.REMOTE_ERROR]) {
    it(`ends an item as failed after its last attempt, with ${code}`, async () => {
      fleet = new TestFleet(2);
      fleet.answerItem = (item) =>
        item.customId === 'lot-3' ? err(createItemError(code)) : undefined;
      const {job, checker} = await submitItems(fleet, 25);
      fleet.start();
      const ended = await fleet.waitForEnd(job.id);
      expect(ended.request_counts.failed).to.equal(1);
      expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
      const runs = fleet.startedRuns.filter((id) => id === 'lot-3');
      expect(runs.length).to.equal(fleet.settings.maxAttempts);
      const errors = await readLines(
        fleet,
        fleet.reader.service,
        'fraser',
        ended.error_file_id!,
      );
      expect(errors.map((line) => [line.custom_id, line.error?.code])).to.eql([
        ['lot-3', code],
      ]);
    });
  }

  it('completes an item under which more servers crash than it has attempts, soon after the last crash', async () => {
    fleet = new TestFleet(2);
    const runTimesMs: number[] = [];
    fleet.answerItem = (item) => {
      if (item.customId !== 'lot-3') return undefined;
      runTimesMs.push(fleet.clock.now());
      return runTimesMs.length <= CRASHES
        ? err(createItemError(ErrorCode.BROKEN_ANSWER))
        : undefined;
    };
    const {job, checker} = await submitItems(fleet, 25);
    fleet.start();
    const ended = await fleet.waitForEnd(job.id);
    expect(ended.request_counts.completed).to.equal(25);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    const [crashMs = 0, completionMs = 0] = runTimesMs.slice(CRASHES - 1);
    expect(completionMs - crashMs - fleet.itemMs).to.be.at.most(
      MAX_RETRY_DELAY_MS,
    );
  });

  for (const code of [
    ErrorCode.REVOKED,
    ErrorCode.OVERLOADED,
    ErrorCode.RATE_LIMITED,
    ErrorCode.UNAVAILABLE,
    ErrorCode.BROKEN_ANSWER,
    ErrorCode.QUARANTINED,
  ]) {
    it(`does not count ${code} as an attempt`, async () => {
      fleet = new TestFleet(1);
      let left = 40;
      fleet.answerItem = () =>
        left-- > 0 ? err(createItemError(code)) : undefined;
      const {job, checker} = await submitItems(fleet, 5);
      fleet.start();
      const ended = await fleet.waitForEnd(job.id);
      expect(ended.request_counts.completed).to.equal(5);
      expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    });
  }

  it('counts an executor that throws as a failed attempt', async () => {
    fleet = new TestFleet(1);
    fleet.answerItem = (item) => {
      if (item.customId === 'lot-2') throw new Error('unexpected');
      return undefined;
    };
    const {job, checker} = await submitItems(fleet, 12);
    fleet.start();
    const ended = await fleet.waitForEnd(job.id);
    expect(ended.request_counts.failed).to.equal(1);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
  });

  it('does not let a job with only refused items block other jobs', async () => {
    fleet = new TestFleet(1, undefined, {maxHeldChunks: 2});
    fleet.answerItem = (item) =>
      item.workspace === 'refused'
        ? err(createItemError(ErrorCode.RATE_LIMITED))
        : undefined;
    await submitItems(fleet, 200, 'refused');
    fleet.start();
    await fleet.clock.waitMs(30_000);
    expect(fleet.hosts[0]!.worker.getStatus().heldChunks).to.equal(1);
    const startMs = fleet.clock.now();
    const {job} = await submitItems(fleet, 100);
    await fleet.waitForEnd(job.id);
    expect(fleet.clock.now() - startMs).to.be.lessThan(60_000);
  });

  it('continues a job while some of its items are refused', async () => {
    fleet = new TestFleet(1);
    let isRefusing = true;
    fleet.answerItem = (item) =>
      isRefusing && item.customId.endsWith('3')
        ? err(createItemError(ErrorCode.OVERLOADED))
        : undefined;
    const {job, checker} = await submitItems(fleet, 95);
    fleet.start();
    await fleet.clock.waitMs(120_000);
    const done = new Set(fleet.startedRuns);
    expect(done.size).to.equal(95);
    isRefusing = false;
    await fleet.waitForEnd(job.id);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
  });

  it('releases a chunk with only refused items when it blocks another job', async () => {
    fleet = new TestFleet(1, undefined, {maxHeldChunks: 2});
    const refusedWorkspaces = new Set(['refused', 'refused-too']);
    fleet.answerItem = (item) =>
      refusedWorkspaces.has(item.workspace)
        ? err(createItemError(ErrorCode.OVERLOADED))
        : undefined;
    for (const workspace of refusedWorkspaces) {
      await submitItems(fleet, 100, workspace);
    }
    fleet.start();
    await fleet.clock.waitMs(30_000);
    expect(fleet.hosts[0]!.worker.getStatus().heldChunks).to.equal(2);
    const startMs = fleet.clock.now();
    const {job} = await submitItems(fleet, 40);
    await fleet.waitForEnd(job.id);
    expect(fleet.clock.now() - startMs).to.be.lessThan(120_000);
  });

  it('commits outcomes and releases its chunks at once when it drains', async () => {
    fleet = new TestFleet(2);
    const {job, checker} = await submitItems(fleet, 40);
    fleet.itemMs = 2000;
    const [first, second] = fleet.hosts;
    first!.worker.start();
    await fleet.clock.waitFor(() => first!.runs > 10);
    const startMs = fleet.clock.now();
    await fleet.clock.waitSettled(first!.worker.drain());
    const committed = [...fleet.storage.rows.values()].filter((row) =>
      row.key.startsWith('chunk/'),
    );
    for (const row of committed) {
      expect((row.value as {state: string}).state).to.not.equal('leased');
    }
    second!.worker.start();
    await fleet.waitForEnd(job.id);
    expect(fleet.clock.now() - startMs).to.be.lessThan(CHUNK_LEASE_TERM_MS);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    expect(fleet.startedRuns.length).to.be.lessThan(40 + 9);
  });

  it('runs its chunks without storage until its memory budget is used up', async () => {
    fleet = new TestFleet(1, undefined, {maxBufferedBytes: 2000});
    const {job, checker} = await submitItems(fleet, 60);
    const [host] = fleet.hosts;
    fleet.start();
    await fleet.clock.waitFor(() => host!.runs >= 4);
    const before = host!.runs;
    host!.chooseFault = () => Fault.REQUEST_LOST;
    await fleet.clock.waitMs(60_000);
    const during = host!.runs;
    expect(during).to.be.greaterThan(before);
    expect(host!.worker.getStatus().isStoreAway).to.equal(true);
    await fleet.clock.waitMs(240_000);
    expect(host!.runs).to.equal(during);
    expect(host!.worker.getStatus().bufferedBytes).to.be.lessThan(2000 * 3);
    host!.chooseFault = () => Fault.NONE;
    await fleet.waitForEnd(job.id);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    expect(fleet.startedRuns.length).to.equal(60);
  });

  it('keeps its chunks while only the object store is unavailable', async () => {
    fleet = new TestFleet(2);
    const {job, checker} = await submitItems(fleet, 95);
    fleet.start();
    await fleet.clock.waitFor(() => fleet.startedRuns.length > 20);
    for (const host of fleet.hosts) {
      host.chooseFault = (step) =>
        step.startsWith('object.') ? Fault.REQUEST_LOST : Fault.NONE;
    }
    const before = fleet.storage.counts.transactions;
    await fleet.clock.waitMs(300_000);
    const during = fleet.storage.counts.transactions - before;
    const log = fleet.hosts.flatMap((host) => host.log.records);
    const count = (event: BatchEvent) =>
      log.filter((record) => record.event === event).length;
    expect(count(BatchEvent.STORE_UNAVAILABLE)).to.equal(fleet.hosts.length);
    expect(count(BatchEvent.CHUNK_TAKEN_OVER)).to.equal(0);
    const renewals = (300_000 / CHUNK_LEASE_TERM_MS) * 3 * 10;
    expect(during).to.be.lessThan(renewals);
    for (const host of fleet.hosts) host.chooseFault = () => Fault.NONE;
    await fleet.waitForEnd(job.id);
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    expect(fleet.startedRuns.length).to.equal(95);
  });

  for (const maxStoreFailureMs of [600_000, 20_000]) {
    it(`keeps chunks for ${maxStoreFailureMs} ms when only one host cannot store results`, async () => {
      fleet = new TestFleet(2, undefined, {maxStoreFailureMs});
      const {job, checker} = await submitItems(fleet, 95);
      const [disconnected, connected] = fleet.hosts;
      disconnected!.worker.start();
      await fleet.clock.waitFor(() => disconnected!.runs > 3);
      disconnected!.chooseFault = (step) =>
        step === 'object.put' ? Fault.REQUEST_LOST : Fault.NONE;
      await fleet.clock.waitMs(5000);
      connected!.worker.start();
      await fleet.clock.waitMs(300_000);
      const isEnded = fleet.getJobState(job.id) === 'completed';
      expect(isEnded).to.equal(maxStoreFailureMs < 300_000);
      disconnected!.chooseFault = () => Fault.NONE;
      await fleet.waitForEnd(job.id);
      expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
      expect(fleet.startedRuns.length === 95).to.equal(!isEnded);
    });
  }

  it('expires a job long after its deadline and gives each item an outcome', async () => {
    fleet = new TestFleet(1, undefined, {expiryGraceMs: 1000});
    fleet.answerItem = (item) =>
      item.customId === 'lot-3'
        ? err(createItemError(ErrorCode.OVERLOADED))
        : undefined;
    const {job, checker} = await submitItems(fleet, 15);
    fleet.start();
    await fleet.clock.waitFor(
      () => fleet.getJobState(job.id) !== 'in_progress',
      90_000_000,
    );
    const ended = await fleet.waitForEnd(job.id);
    expect(ended.status).to.equal('expired');
    expect(ended.request_counts).to.deep.equal({
      total: 15,
      completed: 14,
      failed: 1,
    });
    expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
  });
});
