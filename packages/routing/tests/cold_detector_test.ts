import {SlotUsageEnd, type Pool} from '@savoryspur/schema';
import {expect} from 'chai';
import {ColdDetector} from '../src/cold_detector.js';
import {TokenIntervalBaseline} from '../src/token_interval_baseline.js';

const POOL = {firstTokenMs: 400, warmCapacity: 8} as Pool;

/**
 * Token interval of a warm server at the load of these tests, milliseconds.
 */
const WARM_TOKEN_INTERVAL_MS = 10;

/** Factor by which a cold server's token interval is longer. */
const COLD_SLOWDOWN_FACTOR = 2;

/**
 * Time that a busy host adds to the token interval of all servers,
 * milliseconds.
 */
const BUSY_HOST_DELAY_MS = 3;

/**
 * Answers within which a cold server must be detected: a quarter of a second at
 * 40 answers per second.
 */
const MAX_ANSWERS_TO_DETECT = 10;

describe('ColdDetector', () => {
  let baseline: TokenIntervalBaseline;
  let detectors: Map<string, ColdDetector>;

  beforeEach(() => {
    baseline = new TokenIntervalBaseline();
    detectors = new Map(
      ['a', 'b'].map((id) => [id, new ColdDetector(baseline)]),
    );
  });

  /**
   * Records one completed answer of a server; tells whether the server is
   * treated as cold.
   */
  function answer(serverId: string, betweenTokensMs: number): boolean {
    return detectors
      .get(serverId)!
      .observe(
        `request-${serverId}`,
        {end: SlotUsageEnd.COMPLETED, firstTokenMs: 50, betweenTokensMs},
        {serverId, pool: POOL, isWarm: true, usedSlots: 4},
      );
  }

  /**
   * Computes the jitter of an answer, milliseconds; the sequence is the same in
   * each run.
   */
  function computeJitterMs(index: number): number {
    return ((index * 7) % 5) - 2;
  }

  it('detects which of two servers has become cold, also on a busy host', () => {
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

  it('treats no server as cold when all servers slow down equally', () => {
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

  it('treats no server as cold after one long pause', () => {
    for (let i = 0; i < 100; i++) {
      for (const id of ['a', 'b']) answer(id, WARM_TOKEN_INTERVAL_MS);
    }
    expect(answer('a', WARM_TOKEN_INTERVAL_MS * 50)).to.equal(false);
    expect(answer('a', WARM_TOKEN_INTERVAL_MS)).to.equal(false);
  });
});
