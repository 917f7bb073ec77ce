import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  SlotPool,
  type PoolRequest,
  type SettledRequest,
} from '../src/slots/slot_pool.js';

/** Servers and places on each of the larger of the users' grown sites. */
const SERVERS = 79;
const SLOTS = 8;

/** Time for which an online request holds its place, milliseconds. */
const HOLD_MS = 550;

/** Length of the load, milliseconds. */
const LENGTH_MS = 3000;

/** Period of the owner's timer, milliseconds. */
const SETTLE_MS = 20;

/** Most processor time for a second of the load, milliseconds: a third of a core, what the smallest hosts have. */
const MAX_CPU_MS = 324;

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

describe('PlacePool at the size of a grown site', () => {
  let nextId = 0;

  function createRequest(nowMs: number): PoolRequest {
    nextId += 1;
    return {
      grantId: `g-${nextId}`,
      holder: `host-${nextId % 85}`,
      zone: ZONES[nextId % ZONES.length]!,
      isBatch: false,
      workspace: 'w',
      priority: 0,
      dueMs: nowMs + 303,
      refuseByMs: nowMs + 65,
      giveUpMs: nowMs + 1212,
      prefix: [`p-${nextId % 40}`],
      excluded: [],
    };
  }

  /** Replays a steady load; gives the processor time and what came of it. */
  function replay(ratePerSecond: number) {
    const pool = new SlotPool();
    pool.setServers(
      Array.from({length: SERVERS}, (unused, index) => ({
        id: `s-${index}`,
        zone: ZONES[index % ZONES.length]!,
        slots: SLOTS,
        coldUntilMs: 0,
      })),
    );
    const running: Array<{grantId: string; endMs: number}> = [];
    const waits: number[] = [];
    const askedMs = new Map<string, number>();
    let refused = 0;
    const take = (settled: readonly SettledRequest[], nowMs: number): void => {
      for (const {request, decision} of settled) {
        if (decision.kind === 'refused') {
          refused += 1;
          continue;
        }
        running.push({grantId: request.grantId, endMs: nowMs + HOLD_MS});
        waits.push(nowMs - (askedMs.get(request.grantId) ?? nowMs));
      }
    };
    const before = process.cpuUsage();
    let owed = 0;
    for (let nowMs = 0; nowMs < LENGTH_MS; nowMs++) {
      for (owed += ratePerSecond / 1000; owed >= 1; owed--) {
        const request = createRequest(nowMs);
        askedMs.set(request.grantId, nowMs);
        const decision = pool.acquire(request, nowMs);
        if (decision.kind !== 'queued') take([{request, decision}], nowMs);
      }
      while ((running[0]?.endMs ?? Infinity) <= nowMs) {
        pool.release(running.shift()!.grantId, CallOutcome.SUCCEEDED, nowMs);
        take(pool.grantFree(nowMs), nowMs);
      }
      if (nowMs % SETTLE_MS === 0) take(pool.settle(nowMs), nowMs);
    }
    const {user, system} = process.cpuUsage(before);
    const cpuMs = (user + system) / LENGTH_MS;
    waits.sort((a, b) => a - b);
    return {cpuMs, refused, waits};
  }

  it('decides beyond its capacity within the share of a small host', () => {
    // 1,148 requests a second fill all places.
    const {cpuMs, refused, waits} = replay(1400);
    expect(cpuMs).to.be.below(MAX_CPU_MS);
    expect(refused).to.be.above(0);
    expect(waits.at(-1)).to.be.at.most(303);
  });

  it('lets no request wait while places are free', () => {
    const {refused, waits} = replay(1000);
    expect(refused).to.equal(0);
    expect(waits.at(-1)).to.equal(0);
  });
});
