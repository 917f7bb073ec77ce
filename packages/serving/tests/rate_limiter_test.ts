import {expect} from 'chai';
import fc from 'fast-check';
import {RateLimiter} from '../src/limits/rate_limiter.js';
import {
  SHARE_DELEGATION_TTL_MS,
  STANDALONE_SHARE_FACTOR,
} from '../src/peers/fleet_share.js';

const LIMIT = {name: 'w', ratePerSecond: 30, burst: 30};

/** Counts the requests that a rate limiter admits when every 10 ms requests arrive until it refuses one. */
function countAdmitted(
  limiter: RateLimiter,
  share: number,
  fromMs: number,
  toMs: number,
): number {
  let admitted = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
    while (limiter.admit(LIMIT, share, nowMs).isAdmitted) admitted += 1;
  }
  return admitted;
}

describe('RateLimiter', () => {
  it('admits the rate and a burst', () => {
    const limiter = new RateLimiter();
    countAdmitted(limiter, 1, 0, 10);
    const nextWindow = countAdmitted(limiter, 1, 2000, 7000);
    expect(nextWindow).to.be.within(170, 180);
  });

  it('returns the time after which the next request is admitted', () => {
    const limiter = new RateLimiter();
    limiter.admit(LIMIT, 1, 0);
    const refused = limiter.admit(LIMIT, 1, 0);
    expect(refused.isAdmitted).to.equal(false);
    expect(refused.retryAfterMs).to.be.within(30, 40);
    const later = limiter.admit(LIMIT, 1, refused.retryAfterMs);
    expect(later.isAdmitted).to.equal(true);
  });

  it('spaces the retries of refused callers so that each gets a token', () => {
    const limiter = new RateLimiter();
    const retriesMs: number[] = [];
    // Requests arrive at three times the rate limit for one second; after it only the refused callers retry.
    for (let nowMs = 0; nowMs < 1000; nowMs += 1000 / 90) {
      const decision = limiter.admit(LIMIT, 1, nowMs);
      if (!decision.isAdmitted) retriesMs.push(nowMs + decision.retryAfterMs);
    }
    // A retry arrives one millisecond after the time that the caller was told.
    const laterRetriesMs = retriesMs
      .filter((ms) => ms > 1000)
      .sort((a, b) => a - b);
    const refusedMs = laterRetriesMs.filter(
      (ms) => !limiter.admit(LIMIT, 1, ms + 1).isAdmitted,
    );
    expect(laterRetriesMs.length).to.be.above(10);
    expect(refusedMs).to.deep.equal([]);
  });

  it('applies a lowered limit at once, also to tokens saved before', () => {
    const limiter = new RateLimiter();
    limiter.admit(LIMIT, 1, 0);
    const lower = {...LIMIT, ratePerSecond: 2, burst: 2};
    let admitted = 0;
    for (let nowMs = 5000; nowMs < 10_000; nowMs += 10) {
      if (limiter.admit(lower, 1, nowMs).isAdmitted) admitted += 1;
    }
    expect(admitted).to.be.at.most(12);
  });

  it('expires the delegation of a daemon that does not renew it', () => {
    const limiter = new RateLimiter();
    limiter.recordDelegation('a', 0);
    limiter.recordDelegation('b', 500);
    expect(limiter.countDelegators(SHARE_DELEGATION_TTL_MS - 1)).to.equal(2);
    expect(limiter.countDelegators(SHARE_DELEGATION_TTL_MS)).to.equal(1);
    expect(limiter.countDelegators(SHARE_DELEGATION_TTL_MS + 500)).to.equal(0);
  });

  it('keeps a long delegation when the daemon checks the owner in between', () => {
    const limiter = new RateLimiter();
    limiter.recordDelegation('a', 0, 4000);
    limiter.recordDelegation('a', 100, 1000);
    expect(limiter.countDelegators(3999)).to.equal(1);
    expect(limiter.countDelegators(4000)).to.equal(0);
  });

  it('stays within the rate limit over any five seconds however a partition splits the fleet', () => {
    // The users accept a tenth and 20 requests more than rate and burst allow.
    const allowed = (30 * 5 + 30) * 1.1 + 20;
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 18}),
        fc.array(fc.integer({min: 0, max: 2}), {minLength: 18, maxLength: 18}),
        (daemons, groups) => {
          const sizes = [0, 0, 0];
          for (const group of groups.slice(0, daemons)) sizes[group]! += 1;
          // Groups 0 and 1 have an owner each; the daemons of group 2 are standalone.
          const [first = 0, second = 0, standalone = 0] = sizes;
          let admitted = 0;
          for (const size of [first, second]) {
            const limiter = new RateLimiter();
            countAdmitted(limiter, size / daemons, 0, 10);
            admitted += countAdmitted(limiter, size / daemons, 5000, 10_000);
          }
          for (let i = 0; i < standalone; i += 1) {
            const limiter = new RateLimiter();
            const share = STANDALONE_SHARE_FACTOR / daemons;
            countAdmitted(limiter, share, 0, 10);
            admitted += countAdmitted(limiter, share, 5000, 10_000);
          }
          return admitted <= allowed;
        },
      ),
      {numRuns: 60, seed: 20261204},
    );
  }).timeout(60_000);
});
