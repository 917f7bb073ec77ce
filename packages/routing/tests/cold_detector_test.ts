import {SlotUsageEnd, type Pool} from '@savoryspur/schema';
import {expect} from 'chai';
import {ColdDetector} from '../src/cold_detector.js';
import {TokenIntervalBaseline} from '../src/token_interval_baseline.js';

const POOL = {firstTokenMs: 400, warmCapacity: 8} as Pool;

/**
 * Time between tokens of a warm server at the load of these tests,
 * milliseconds.
 */
const WARM_TOKEN_INTERVAL_MS = 10;

/** Factor of all times of a cold server. */
const COLD_SLOWDOWN_FACTOR = 2;

/** Time that a busy host adds between tokens on all servers, milliseconds. */
const BUSY_HOST_DELAY_MS = 3;

/**
 * Answers in which a cold server must be found: a quarter of a second at 40
 * answers a second.
 */
const MAX_ANSWERS_TO_DETECT = 10;

describe('ColdSigns', () => {
  let baseline: TokenIntervalBaseline;
  let detectors: Map<string, ColdDetector>;

  beforeEach(() => {
    baseline = new TokenIntervalBaseline();
    detectors = new Map(
      ['a', 'b'].map((id) => [id, new ColdDetector(baseline)]),
    );
  });

  /** Ends one answer of a server; tells whether it is treated as cold. */
  function answer(serverId: string, betweenTokensMs: number): boolean {
    return detectors
      .get(serverId)!
      .observe(
        `request-${serverId}`,
        {end: SlotUsageEnd.COMPLETED, firstTokenMs: 50, betweenTokensMs},
        {serverId, pool: POOL, isWarm: true, usedSlots: 4},
      );
  }

  /** Jitter of an answer, milliseconds; the same sequence in each run. */
  function computeJitterMs(index: number): number {
    return ((index * 7) % 5) - 2;
  }

  it('finds one of two servers that turns cold, on a busy host too', () => {
    for (let i = 0; i < 100; i++) {
      for (const id of ['a', 'b'])
        answer(id, WARM_TOKEN_INTERVAL_MS + computeJitterMs(i));
    }
    let answers = 0;
    let isFound = false;
    while (!isFound && answers < 100) {
      const jitterMs = computeJitterMs(answers);
      answer('b', WARM_TOKEN_INTERVAL_MS + BUSY_HOST_DELAY_MS + jitterMs);
      isFound = answer(
        'a',
        WARM_TOKEN_INTERVAL_MS * COLD_SLOWDOWN_FACTOR +
          BUSY_HOST_DELAY_MS +
          jitterMs,
      );
      answers += 1;
    }
    expect(answers).to.be.at.most(MAX_ANSWERS_TO_DETECT);
  });

  it('takes no server for cold when all become slower alike', () => {
    for (let i = 0; i < 200; i++) {
      const factor = i < 100 ? 1 : COLD_SLOWDOWN_FACTOR;
      for (const id of ['a', 'b']) {
        const jitterMs = computeJitterMs(i + (id === 'a' ? 0 : 2));
        expect(answer(id, WARM_TOKEN_INTERVAL_MS * factor + jitterMs)).to.equal(
          false,
        );
      }
    }
  });

  it('takes no server for cold after one long pause', () => {
    for (let i = 0; i < 100; i++) {
      for (const id of ['a', 'b']) answer(id, WARM_TOKEN_INTERVAL_MS);
    }
    expect(answer('a', WARM_TOKEN_INTERVAL_MS * 50)).to.equal(false);
    expect(answer('a', WARM_TOKEN_INTERVAL_MS)).to.equal(false);
  });
});
