import {BatchEvent, ErrorCode} from '@savoryspur/common';
import type {ChunkRow, Row, RowCondition} from '@savoryspur/schema';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {Fault} from './memory_storage.js';
import {
  type CheckReport,
  CLEAN_REPORT,
  submitItems,
} from './outcome_checker.js';
import {
  createItemError,
  TEST_SETTINGS,
  TestFleet,
  type TestHost,
} from './test_fleet.js';

/** Injects a fault at the first commit of a host and returns the fault. */
type CommitFaultInjector = (host: TestHost) => Fault;

/**
 * Injects a fault at the first write of a chunk row after a segment was stored.
 */
function scheduleCommitFault(
  host: TestHost,
  inject: CommitFaultInjector,
): void {
  let isStored = false;
  let isInjected = false;
  host.chooseFault = (step, key) => {
    if (step === 'object.put' && key.startsWith('results/')) isStored = true;
    const isCommit = step === 'table.transact' && key.startsWith('chunk/');
    if (!isCommit || !isStored || isInjected) return Fault.NONE;
    isInjected = true;
    return inject(host);
  };
}

describe('batch items under faults', () => {
  let fleet: TestFleet;

  afterEach(() => fleet.stop());

  /** Waits for the end of a job and compares its items with their outcomes. */
  async function verifyOutcomes(
    submitted: Awaited<ReturnType<typeof submitItems>>,
  ): Promise<void> {
    const ended = await fleet.waitForEnd(submitted.job.id);
    expect(ended.status).to.equal('completed');
    expect(ended.request_counts.total).to.equal(submitted.customIds.length);
    const {completed, failed} = ended.request_counts;
    expect(completed + failed).to.equal(submitted.customIds.length);
    expect(await submitted.checker.check()).to.deep.equal(CLEAN_REPORT);
    await fleet.clock.waitMs(60_000);
    expect(await submitted.checker.check()).to.deep.equal(CLEAN_REPORT);
  }

  it('survives the crash of the host right after it accepted the job', async () => {
    fleet = new TestFleet(3);
    const submitted = await submitItems(fleet, 35);
    fleet.hosts[2]!.end();
    fleet.start();
    await verifyOutcomes(submitted);
  });

  it('survives the crash of a host with items in flight', async () => {
    fleet = new TestFleet(3);
    const submitted = await submitItems(fleet, 95);
    const [first] = fleet.hosts;
    fleet.answerItem = (item, host) => {
      if (host === first && host.runs === 5) host.end();
      return undefined;
    };
    fleet.start();
    await verifyOutcomes(submitted);
    expect(first!.hasEnded).to.equal(true);
  });

  it('completes an item under which servers crash before and after a takeover', async () => {
    fleet = new TestFleet(2);
    const submitted = await submitItems(fleet, 10);
    const [first, second] = fleet.hosts;
    const crashes = 2 * fleet.settings.maxAttempts;
    const runsByHost = new Map<TestHost, number>();
    fleet.answerItem = (item, host) => {
      if (item.customId !== 'lot-3') return undefined;
      const runs = (runsByHost.get(host) ?? 0) + 1;
      runsByHost.set(host, runs);
      if (host === first && runs > crashes) host.end();
      return runs <= crashes
        ? err(createItemError(ErrorCode.BROKEN_ANSWER))
        : undefined;
    };
    first!.worker.start();
    await fleet.clock.waitFor(() => first!.runs > 0);
    second!.worker.start();
    const ended = await fleet.waitForEnd(submitted.job.id);
    expect(first!.hasEnded).to.equal(true);
    expect(ended.request_counts.failed).to.equal(0);
    await verifyOutcomes(submitted);
  });

  const commitFaults: Array<{name: string; fault: CommitFaultInjector}> = [
    {
      name: 'the crash of a host after storing a segment and before its commit',
      fault: (host) => {
        host.end();
        return Fault.REQUEST_LOST;
      },
    },
    {
      name: 'the crash of a host after a commit whose answer is lost',
      fault: (host) => {
        host.end();
        return Fault.ANSWER_LOST;
      },
    },
    {name: 'a commit whose answer is lost', fault: () => Fault.ANSWER_LOST},
    {name: 'a commit whose request is lost', fault: () => Fault.REQUEST_LOST},
    {
      name: 'a lease holder that is paused at its commit and resumes',
      fault: (host) => {
        host.pause();
        void host.fleet.clock.sleep(90_000).then(() => host.resume());
        return Fault.NONE;
      },
    },
  ];
  for (const {name, fault} of commitFaults) {
    it(`survives ${name}`, async () => {
      fleet = new TestFleet(3);
      const submitted = await submitItems(fleet, 45);
      for (const host of fleet.hosts.slice(0, 2))
        scheduleCommitFault(host, fault);
      fleet.start();
      await verifyOutcomes(submitted);
    });
  }

  it('keeps a segment whose commit took effect before a takeover', async () => {
    fleet = new TestFleet(2, undefined, {maxCommitDelayMs: 1000});
    const submitted = await submitItems(fleet, 10);
    const [first, second] = fleet.hosts;
    first!.itemMs = 4000;
    let isCommitted = false;
    scheduleCommitFault(first!, (host) => {
      host.chooseFault = () => Fault.REQUEST_LOST;
      isCommitted = true;
      return Fault.ANSWER_LOST;
    });
    first!.worker.start();
    await fleet.clock.waitFor(() => isCommitted);
    second!.worker.start();
    await fleet.clock.waitMs(60_000);
    first!.chooseFault = () => Fault.NONE;
    await fleet.clock.waitMs(60_000);
    await verifyOutcomes(submitted);
    expect(first!.worker.getStatus().ended.lost).to.equal(1);
    expect(second!.runs).to.equal(2);
  });

  it('survives object writes that take effect without an answer', async () => {
    fleet = new TestFleet(2);
    const submitted = await submitItems(fleet, 45);
    for (const host of fleet.hosts) {
      let puts = 0;
      host.chooseFault = (step) =>
        step === 'object.put' && puts++ % 3 === 0
          ? Fault.ANSWER_LOST
          : Fault.NONE;
    }
    fleet.start();
    await verifyOutcomes(submitted);
  });

  it('survives a lease holder that is paused with items in flight', async () => {
    fleet = new TestFleet(2);
    const submitted = await submitItems(fleet, 45);
    const [first] = fleet.hosts;
    fleet.start();
    await fleet.clock.waitFor(() => first!.runs >= 3);
    first!.pause();
    await fleet.clock.waitMs(60_000);
    first!.resume();
    await verifyOutcomes(submitted);
    expect(first!.worker.getStatus().ended.lost).to.be.greaterThan(0);
  });

  it('takes over no chunk whose lease is renewed, however long items take', async () => {
    fleet = new TestFleet(3);
    fleet.itemMs = 120_000;
    const submitted = await submitItems(fleet, 8);
    fleet.start();
    await verifyOutcomes(submitted);
    expect(fleet.startedRuns.length).to.equal(8);
  });

  it('survives two hosts that run the same chunk', async () => {
    fleet = new TestFleet(2);
    const submitted = await submitItems(fleet, 45);
    fleet.hosts[1]!.itemMs = 1700;
    for (const host of fleet.hosts) fleet.terminatedHosts.add(host.name);
    fleet.start();
    for (let check = 0; check < 100; check++) {
      await fleet.clock.waitMs(100);
      const report = await submitted.checker.check();
      expect(report.duplicated.concat(report.changed)).to.deep.equal([]);
    }
    fleet.terminatedHosts.clear();
    await verifyOutcomes(submitted);
    expect(fleet.startedRuns.length).to.be.greaterThan(45);
  });

  /** Counts the segments that chunk rows name. */
  function countSegments(): number {
    return listRows('chunk/').reduce(
      (sum, row) => sum + (row.value as ChunkRow).segments.length,
      0,
    );
  }

  function listRows(prefix: string): Row[] {
    const rows = [...fleet.storage.rows.values()];
    return rows.filter((row) => row.key.startsWith(prefix));
  }

  /**
   * Runs a job of one chunk on two hosts that hold the chunk at the same time. The
   * first one commits before the second one. Returns the last report.
   */
  async function runOnTwoHolders(
    isConditionChecked: (condition: RowCondition) => boolean,
  ): Promise<CheckReport> {
    fleet = new TestFleet(2);
    fleet.storage.isConditionChecked = isConditionChecked;
    const {checker, job} = await submitItems(fleet, 10);
    const [first, second] = fleet.hosts;
    // The second host commits before the job has ended.
    first!.chooseFault = (step, key) =>
      step === 'table.transact' && key.startsWith('job/')
        ? Fault.REQUEST_LOST
        : Fault.NONE;
    first!.worker.start();
    await fleet.clock.waitFor(() => first!.runs > 0);
    first!.pause();
    fleet.terminatedHosts.add(first!.name);
    second!.worker.start();
    await fleet.clock.waitFor(() => second!.runs > 0);
    second!.pause();
    first!.resume();
    // Without its lease, the first host ends its work on the chunk.
    await fleet.clock.waitFor(
      () => countSegments() > 0 || first!.worker.getStatus().ended.lost > 0,
    );
    await checker.check();
    first!.pause();
    second!.resume();
    await fleet.clock.waitFor(
      () => fleet.getJobState(job.id) !== 'in_progress',
    );
    return checker.check();
  }

  it('control: has duplicate outcomes without the condition on the chunk row', async () => {
    const report = await runOnTwoHolders(({key}) => !key.startsWith('chunk/'));
    expect(report.changed).to.not.deep.equal([]);
    fleet.stop();
    const checked = await runOnTwoHolders(() => true);
    expect(checked).to.deep.equal(CLEAN_REPORT);
  });

  /** Runs items until some are in progress, takes storage from all hosts for minutes, and gives it back. */
  async function runThroughOutage(
    setLaterFaults: () => void,
  ): Promise<Awaited<ReturnType<typeof submitItems>>> {
    fleet = new TestFleet(3);
    const submitted = await submitItems(fleet, 95);
    fleet.start();
    await fleet.clock.waitFor(() => fleet.startedRuns.length > 20);
    for (const host of fleet.hosts) host.chooseFault = () => Fault.REQUEST_LOST;
    await fleet.clock.waitMs(300_000);
    setLaterFaults();
    return submitted;
  }

  it('survives minutes without storage on all hosts', async () => {
    const submitted = await runThroughOutage(() => {
      // Holders write before other hosts read that their leases have not been renewed.
      const waiting = new Map(
        listRows('chunk/').map(({key, version}) => [key, version]),
      );
      const isWritten = (): boolean =>
        listRows('chunk/').every(
          ({key, version}) => waiting.get(key) !== version,
        );
      for (const host of fleet.hosts) {
        host.chooseFault = (step, key) =>
          step === 'table.read' && key.startsWith('chunk/') && !isWritten()
            ? Fault.REQUEST_LOST
            : Fault.NONE;
      }
    });
    await verifyOutcomes(submitted);
    expect(fleet.startedRuns.length).to.equal(95);
  });

  it('runs items again after minutes without storage only in chunks that were taken over', async () => {
    const submitted = await runThroughOutage(() => {
      for (const host of fleet.hosts) host.chooseFault = () => Fault.NONE;
    });
    await verifyOutcomes(submitted);
    const takeovers = fleet.hosts.flatMap(({log}) =>
      log.records
        .filter(({event}) => event === BatchEvent.CHUNK_TAKEN_OVER)
        .map(({fields}) => Number(fields.chunk)),
    );
    for (const [index, customId] of submitted.customIds.entries()) {
      const chunk = Math.floor(index / fleet.settings.chunkItems);
      const maxRuns =
        1 + takeovers.filter((takenOver) => takenOver === chunk).length;
      const runs = fleet.startedRuns.filter((id) => id === customId).length;
      expect(runs, customId).to.be.within(1, maxRuns);
    }
  });

  it('survives the crash of the host that was about to complete the job', async () => {
    fleet = new TestFleet(2);
    const submitted = await submitItems(fleet, 20);
    const [first, second] = fleet.hosts;
    first!.chooseFault = (step, key) => {
      if (step !== 'table.transact' || !key.startsWith('job/')) {
        return Fault.NONE;
      }
      first!.end();
      return Fault.REQUEST_LOST;
    };
    first!.worker.start();
    await fleet.clock.waitFor(() => first!.hasEnded);
    second!.worker.start();
    await verifyOutcomes(submitted);
  });

  it('isolates an item that crashes each host that runs it', async () => {
    fleet = new TestFleet(9);
    const submitted = await submitItems(fleet, 45);
    fleet.answerItem = (item, host) => {
      if (item.customId === 'lot-17') host.end();
      return undefined;
    };
    fleet.start();
    await verifyOutcomes(submitted);
    const lost = fleet.hosts.filter((host) => host.hasEnded);
    expect(lost.length).to.be.lessThan(fleet.settings.maxAttempts + 3);
  });
});

describe('cancellation of a job', () => {
  let fleet: TestFleet;

  afterEach(() => fleet.stop());

  for (const isNoticeLost of [false, true]) {
    const how = isNoticeLost
      ? 'after a poll when the notice is lost'
      : 'after the notice';
    it(`stops items in flight ${how} and commits nothing more`, async () => {
      fleet = new TestFleet(3);
      fleet.isCancelNoticeLost = isNoticeLost;
      fleet.itemMs = 5000;
      const {job, checker} = await submitItems(fleet, 95);
      fleet.start();
      await fleet.clock.waitFor(() => fleet.startedRuns.length > 40);
      const {service} = fleet.hosts[1]!;
      const cancelled = await fleet.clock.waitSettled(
        service.cancel('fraser', job.id),
      );
      const atAck = listChunkRows(fleet);
      expect(cancelled._unsafeUnwrap().status).to.equal('cancelled');
      await fleet.clock.waitMs(3000);
      const runs = fleet.startedRuns.length;
      for (const host of fleet.hosts) {
        expect(host.worker.getStatus().runningItems).to.equal(0);
      }
      await fleet.clock.waitMs(60_000);
      expect(fleet.startedRuns.length).to.equal(runs);
      expect(listChunkRows(fleet)).to.deep.equal(atAck);
      expect(await checker.check()).to.deep.equal(CLEAN_REPORT);
    });
  }
});

it('control: outcomes of a cancelled job are committed without the condition on its row', async () => {
  const fleet = new TestFleet(2, {...TEST_SETTINGS, pollMs: 60_000});
  fleet.isCancelNoticeLost = true;
  fleet.storage.isConditionChecked = ({key}) => !key.startsWith('job/');
  const {job} = await submitItems(fleet, 95);
  for (const host of fleet.hosts) host.itemMs = 2500;
  fleet.start();
  await fleet.clock.waitMs(2400);
  await fleet.clock.waitSettled(fleet.reader.service.cancel('fraser', job.id));
  const atAck = listChunkRows(fleet);
  await fleet.clock.waitMs(60_000);
  expect(listChunkRows(fleet)).to.not.deep.equal(atAck);
  fleet.stop();
});

function listChunkRows(fleet: TestFleet): string[] {
  const rows = [...fleet.storage.rows.values()];
  const chunks = rows.filter((row) => row.key.startsWith('chunk/'));
  return chunks.map((row) => JSON.stringify(row)).sort();
}
