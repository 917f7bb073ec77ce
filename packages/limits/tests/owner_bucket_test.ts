import {ManualClock} from '@savoryspur/common';
import {TrafficClass} from '@savoryspur/schema';
import {expect} from 'chai';
import {OwnerBucket} from '../src/index.js';
import {TokenRequester} from '../src/token_requester.js';

const LIMITS = {rate: 10, burst: 40, batchShare: 0.5, fleetSlots: 4};

/** Creates a history from consecutive segments, each given as [end, slots]. */
function createHistory(fromMs: number, ...steps: Array<[number, number]>) {
  let startMs = fromMs;
  const segments = steps.map(([toMs, slots]) => {
    const segment = {fromMs: startMs, toMs, slots};
    startMs = toMs;
    return segment;
  });
  return {completeSinceMs: 0, segments, leasedUntilMs: startMs + 1000};
}

const takeAll = (bucket: OwnerBucket): number =>
  bucket.takeTokens(TrafficClass.ONLINE, 1000, 1);

describe('OwnerBucket', () => {
  const cases: Array<{
    name: string;
    steps: Array<[number, number]>;
    tokens: number;
  }> = [
    {name: 'refills at its share of the rate', steps: [[2000, 2]], tokens: 10},
    {name: 'stops at its share of the burst', steps: [[60_000, 2]], tokens: 20},
    {
      name: 'loses the tokens of a share that expired',
      steps: [
        [60_000, 4],
        [60_001, 1],
      ],
      tokens: 10,
    },
    {
      name: 'adds no tokens with a share that is delegated again',
      steps: [
        [60_000, 4],
        [61_000, 0],
        [61_000, 4],
      ],
      tokens: 0,
    },
  ];
  for (const {name, steps, tokens} of cases) {
    it(name, () => {
      const bucket = new OwnerBucket(LIMITS);
      bucket.refill(createHistory(0, ...steps));
      expect(takeAll(bucket)).to.equal(tokens);
    });
  }

  it('adds no tokens for the past when the rate is raised', () => {
    const bucket = new OwnerBucket(LIMITS);
    bucket.refill(createHistory(0, [60_000, 4]));
    takeAll(bucket);
    bucket.setLimits({...LIMITS, rate: 1000, burst: 1000}, () =>
      createHistory(60_000, [61_000, 4]),
    );
    expect(takeAll(bucket)).to.equal(10);
  });

  it('is not refilled in the place of tokens that another daemon holds', () => {
    const bucket = new OwnerBucket(LIMITS);
    bucket.refill(createHistory(0, [60_000, 4]));
    bucket.addReservation(1, takeAll(bucket), 90_000);
    bucket.refill(createHistory(60_000, [80_000, 4]));
    expect(takeAll(bucket)).to.equal(0);
  });
});

describe('TokenRequester', () => {
  it('drops tokens that arrive after their term', async () => {
    const clock = new ManualClock();
    let grants = 0;
    const requester = new TokenRequester('w', TrafficClass.ONLINE, clock, {
      requestTokens: (request) => {
        grants += 1;
        clock.advance(300);
        const granted = grants === 1 ? request.count : 0;
        return Promise.resolve({
          owner: 'host-1:1',
          answer: {
            granted,
            grant: grants,
            waitedMs: 0,
            termMs: 200,
            hasShare: true,
            retryAfterMs: 70,
          },
          validUntilMs: 200,
        });
      },
      markSettled: () => undefined,
    });
    const result = await requester.acquire({
      workspace: 'w',
      trafficClass: TrafficClass.ONLINE,
      count: 1,
      maxWaitMs: 1000,
    });
    expect(result._unsafeUnwrapErr()).to.deep.equal({
      retryAfterMs: 70,
      hasShare: true,
    });
  });
});
