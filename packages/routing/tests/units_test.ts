import {ManualClock} from '@savoryspur/common';
import {RetryBudget} from '@savoryspur/routing';
import {expect} from 'chai';
import fc from 'fast-check';
import {computeCapacityShare} from '../src/capacity_share.js';
import {CrashTracker, CrashCheckResult} from '../src/crash_tracker.js';
import {FairQueue} from '../src/fair_queue.js';

describe('computeCapacityShare', () => {
  it('never grants more than the capacity to all owners together', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 64}),
        fc.array(fc.integer({min: 0, max: 8}), {minLength: 1, maxLength: 8}),
        fc.integer({min: 0, max: 4}),
        (capacity, owners, undelegated) => {
          const zoneSlots = owners.reduce(
            (sum, slots) => sum + slots,
            undelegated,
          );
          let granted = 0;
          for (const slots of owners) {
            granted += computeCapacityShare(capacity, {slots, zoneSlots});
          }
          return granted <= capacity;
        },
      ),
    );
  });

  it('gives the whole capacity to the owner of all quota slots', () => {
    const share = {slots: 4, zoneSlots: 4};
    expect(computeCapacityShare(7, share)).to.equal(7);
  });
});

describe('CrashTracker', () => {
  it('quarantines neither of two requests that were in flight in both crashes', () => {
    const tracker = new CrashTracker(new ManualClock(), 60_000);
    for (const server of ['s1', 's2']) {
      tracker.startCrashCheck(server, 'b1', ['f1', 'f2']);
      const outcome = tracker.finishCrashCheck(
        server,
        CrashCheckResult.CRASHED,
      );
      expect(outcome.quarantined).to.equal(undefined);
    }
    tracker.startCrashCheck('s3', 'b1', ['f1', 'f3']);
    const outcome = tracker.finishCrashCheck('s3', CrashCheckResult.CRASHED);
    expect(outcome.quarantined?.fingerprint).to.equal('f1');
  });
});

describe('RetryBudget', () => {
  it('limits retries to a fraction of the first attempts', () => {
    const budget = new RetryBudget(0.1);
    let retries = 0;
    for (let i = 0; i < 1000; i++) {
      budget.recordFirstAttempt();
      if (budget.trySpendRetry()) retries += 1;
    }
    expect(retries).to.be.within(95, 101);
  });

  it('limits the retries that may accumulate', () => {
    const budget = new RetryBudget(1, 5);
    for (let i = 0; i < 100; i++) budget.recordFirstAttempt();
    let retries = 0;
    while (budget.trySpendRetry()) retries += 1;
    expect(retries).to.equal(5);
  });
});

describe('FairQueue', () => {
  it('serves workspaces round robin', () => {
    const queue = new FairQueue<{workspace: string}>();
    for (const workspace of ['a', 'a', 'a', 'b', 'c', 'b']) {
      queue.push({workspace});
    }
    expect(queue.countAhead('d')).to.equal(3);
    const order: string[] = [];
    const serve = (entry: {workspace: string}): boolean => {
      order.push(entry.workspace);
      return true;
    };
    while (queue.takeFirst(serve));
    expect(order.join('')).to.equal('abcaba');
    expect(queue.count()).to.equal(0);
  });
});
