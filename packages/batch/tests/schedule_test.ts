import {expect} from 'chai';
import fc from 'fast-check';
import {Fault} from './memory_storage.js';
import {CLEAN_REPORT, submitItems} from './outcome_checker.js';
import {TestFleet, type TestHost} from './test_fleet.js';

/** Hosts that faults may affect; one more host is added after all faults. */
const FAULTY_HOSTS = 4;

/** Duration of an item on the first host, milliseconds. */
const FIRST_HOST_ITEM_MS = 5000;

/** Additional duration of an item on each further host, milliseconds. */
const ITEM_MS_STEP = 3000;

/** Interval between two checks of the outcomes, milliseconds. */
const CHECK_INTERVAL_MS = 1000;

/** A fault of a host, or its end. */
enum FaultAction {
  END = 'end',
  PAUSE = 'pause',
  RESUME = 'resume',
  DISCONNECT = 'cut',
  LOSE_ANSWERS = 'lose_replies',
  RECONNECT = 'heal',
  MARK_TERMINATED = 'know_gone',
  DRAIN = 'drain',
}

const FAULT_ACTIONS = new Map<FaultAction, (host: TestHost) => void>([
  [FaultAction.END, (host) => host.end()],
  [
    FaultAction.PAUSE,
    (host) => {
      if (!host.hasEnded) host.pause();
    },
  ],
  [
    FaultAction.RESUME,
    (host) => {
      if (!host.hasEnded) host.resume();
    },
  ],
  [
    FaultAction.DISCONNECT,
    (host) => (host.chooseFault = () => Fault.REQUEST_LOST),
  ],
  [FaultAction.RECONNECT, (host) => (host.chooseFault = () => Fault.NONE)],
  [
    FaultAction.MARK_TERMINATED,
    (host) => host.fleet.terminatedHosts.add(host.name),
  ],
  [FaultAction.DRAIN, (host) => void host.worker.drain(5000)],
  [
    FaultAction.LOSE_ANSWERS,
    (host) => {
      let calls = 0;
      host.chooseFault = (step) => {
        const isWrite = step === 'table.transact' || step === 'object.put';
        return isWrite && calls++ % 2 === 0 ? Fault.ANSWER_LOST : Fault.NONE;
      };
    },
  ],
]);

const FAULT_SCHEDULE = fc.array(
  fc.record({
    waitMs: fc.integer({min: 0, max: 8000}),
    host: fc.nat(FAULTY_HOSTS - 1),
    act: fc.constantFrom(...Object.values(FaultAction)),
  }),
  {maxLength: 25},
);

/**
 * Runs a job under one schedule of faults.
 *
 * @returns the last report of the checker and the number of items with an
 *     outcome
 */
async function runSchedule(
  schedule: ReadonlyArray<{waitMs: number; host: number; act: FaultAction}>,
) {
  const fleet = new TestFleet(FAULTY_HOSTS, undefined, {
    maxCommitDelayMs: 3000,
  });
  try {
    for (const [n, host] of fleet.hosts.entries()) {
      host.itemMs = FIRST_HOST_ITEM_MS + n * ITEM_MS_STEP;
    }
    const {job, checker} = await submitItems(fleet, 55);
    fleet.start();
    for (const {waitMs, host, act} of schedule) {
      for (let waitedMs = 0; waitedMs < waitMs; waitedMs += CHECK_INTERVAL_MS) {
        await fleet.clock.waitMs(
          Math.min(CHECK_INTERVAL_MS, waitMs - waitedMs),
        );
        await checker.check();
      }
      FAULT_ACTIONS.get(act)!(fleet.hosts[host]!);
    }
    for (const host of fleet.hosts) {
      if (!host.hasEnded) host.resume();
      host.chooseFault = () => Fault.NONE;
    }
    fleet.terminatedHosts.clear();
    fleet.addHost().worker.start();
    while (fleet.getJobState(job.id) === 'in_progress') {
      await fleet.clock.waitMs(CHECK_INTERVAL_MS);
      await checker.check();
    }
    const ended = await fleet.waitForEnd(job.id);
    await fleet.clock.waitMs(30_000);
    const {completed, failed} = ended.request_counts;
    return {...(await checker.check()), items: completed + failed};
  } finally {
    fleet.stop();
  }
}

describe('batch items under random schedules of faults', () => {
  it('have exactly one outcome that never changes', async () => {
    const seed = Number(
      process.env.SEED ?? Math.floor(Math.random() * 2 ** 31),
    );
    const numRuns = Number(process.env.RUNS ?? 40);
    console.error(`schedule seed ${seed}, ${numRuns} runs`);
    await fc.assert(
      fc.asyncProperty(FAULT_SCHEDULE, async (schedule) => {
        const report = await runSchedule(schedule);
        expect(report).to.deep.equal({...CLEAN_REPORT, items: 55});
      }),
      {seed, numRuns},
    );
  });
});
