import {expect} from 'chai';
import {SlotPool} from '../src/slots/slot_pool.js';
import {
  PoolReplay,
  type ReplayedRoute,
  type ReplayOptions,
} from './pool_replay.js';

const WORKSPACES = 40;
const HOT_WORKSPACES = 3;

/** Factor of the rate of hot workspaces, and when it applies: while the square wave is high. */
const HOT_FACTOR = 7;
const HOT_FROM_MS = 9200;
const HOT_UNTIL_MS = 16_000;

const CHAT: ReplayedRoute = {
  name: 'chat',
  share: 1,
  holdMs: 650,
  firstEventMs: 60,
};

/** Routes whose requests hold their slots for 0.51 s on average. */
const MIXED_ROUTES: readonly ReplayedRoute[] = [
  {name: 'caption', share: 0.6, holdMs: 150, firstEventMs: 65},
  {name: 'item', share: 0.4, holdMs: 1050, firstEventMs: 65},
];

function isHot(name: string): boolean {
  return Number(name.slice(2)) < HOT_WORKSPACES;
}

/** Replays three workspaces at seven times their usual rate, which lasts beyond a peak of the square wave. */
function replayHotWorkspaces(
  pool: SlotPool,
  changes: Partial<ReplayOptions> = {},
): PoolReplay {
  const names = Array.from({length: WORKSPACES}, (unused, n) => `w-${n}`);
  const replay = new PoolReplay(pool, {
    servers: 62,
    workspaces: names.map((name) => ({
      name,
      rate: 10,
      getFactor: (nowMs) =>
        isHot(name) && nowMs >= HOT_FROM_MS && nowMs < HOT_UNTIL_MS
          ? HOT_FACTOR
          : 1,
    })),
    routes: [CHAT],
    durationMs: 17_400,
    hasBatch: true,
    preemptionMs: 20,
    seed: 1,
    ...changes,
  });
  replay.run();
  return replay;
}

describe('SlotPool with workspaces at seven times their usual rate', () => {
  // Guards against admitting requests up to the due time by an expected wait without
  // a margin: the queue then stays at this limit, and nearly all that wait are late.
  it('refuses at once what would be late', () => {
    const {sent, inTime, late} = replayHotWorkspaces(new SlotPool()).sum();
    expect(late / sent).to.be.below(0.01);
    expect(inTime / sent).to.be.above(0.85);
  });

  // Guards against one expected hold time for routes of which one holds its slots
  // seven times as long as another.
  it('refuses at once what would be late where routes differ in their hold times', () => {
    const replay = replayHotWorkspaces(new SlotPool(), {routes: MIXED_ROUTES});
    const {sent, inTime, late} = replay.sum();
    expect(late / sent).to.be.below(0.01);
    expect(inTime / sent).to.be.above(0.95);
  });
});
