import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  SlotPool,
  type PoolRequest,
  RefusalReason,
} from '../src/slots/slot_pool.js';
import {ZoneCircuitBreakers} from '../src/slots/zone_circuit_breakers.js';

/** Places of one server in these tests. */
const SLOTS = 8;

let nextGrant = 0;

function createRequest(changes: Partial<PoolRequest> = {}): PoolRequest {
  nextGrant += 1;
  return {
    grantId: `g-${nextGrant}`,
    holder: 'host-1',
    zone: 'zone-a',
    isBatch: false,
    workspace: 'w',
    priority: 0,
    dueMs: 300,
    refuseByMs: 65,
    giveUpMs: 1200,
    prefix: [],
    excluded: [],
    ...changes,
  };
}

function createPool(servers = 2): SlotPool {
  const pool = new SlotPool();
  pool.setServers(
    Array.from({length: servers}, (unused, index) => ({
      id: `s-${index}`,
      zone: index % 2 === 0 ? 'zone-a' : 'zone-b',
      slots: SLOTS,
      coldUntilMs: 0,
    })),
  );
  return pool;
}

function createBatch(changes: Partial<PoolRequest> = {}): PoolRequest {
  return createRequest({
    isBatch: true,
    priority: 9,
    dueMs: 18_000,
    giveUpMs: 1e9,
    ...changes,
  });
}

/** Fills a pool with batch items and gives their grants. */
function addBatch(pool: SlotPool): string[] {
  const grants: string[] = [];
  for (;;) {
    const request = createBatch();
    const decision = pool.acquire(request, 0);
    if (decision.kind !== 'granted') {
      pool.cancel(request.grantId);
      return grants;
    }
    grants.push(request.grantId);
  }
}

describe('PlacePool', () => {
  it('sends work only to free places, and fills all of them', () => {
    const pool = createPool(2);
    const perServer = new Map<string, number>();
    for (let i = 0; i < 2 * SLOTS; i += 1) {
      const decision = pool.acquire(createRequest(), 0);
      if (decision.kind !== 'granted') throw new Error(decision.kind);
      const used = perServer.get(decision.serverId) ?? 0;
      perServer.set(decision.serverId, used + 1);
    }
    expect([...perServer.values()]).to.deep.equal([SLOTS, SLOTS]);
    expect(pool.acquire(createRequest(), 0).kind).not.to.equal('granted');
  });

  it('leaves some places free of batch items for online requests', () => {
    const pool = createPool(2);
    expect(addBatch(pool).length).to.equal(2 * SLOTS - 1);
    expect(pool.acquire(createRequest(), 0).kind).to.equal('granted');
  });

  it('asks one batch item to give way for each online request that waits', () => {
    const pool = createPool(2);
    addBatch(pool);
    pool.acquire(createRequest(), 0);
    expect(pool.acquire(createRequest(), 0).kind).to.equal('queued');
    expect(pool.acquire(createRequest(), 0).kind).to.equal('queued');
    const yields = pool.takeYields('host-1');
    expect(yields).to.have.length(2);
    for (const grantId of yields) {
      pool.release(grantId, CallOutcome.ABANDONED, 5);
    }
    const settled = pool.settle(6);
    expect(settled.map(({decision}) => decision.kind)).to.deep.equal([
      'granted',
      'granted',
    ]);
    expect(pool.hasYields('host-1')).to.equal(false);
  });

  it('interrupts the batch item with most time left', () => {
    const pool = createPool(1);
    const late = createBatch({dueMs: 30_000});
    const soon = createBatch({dueMs: 2000});
    pool.acquire(soon, 0);
    pool.acquire(late, 0);
    for (let i = 0; i < SLOTS - 2; i += 1) pool.acquire(createRequest(), 0);
    pool.acquire(createRequest(), 0);
    expect(pool.takeYields('host-1')).to.deep.equal([late.grantId]);
  });

  it('starts the batch item that is due first, after all online requests', () => {
    const pool = createPool(1);
    const online = Array.from({length: SLOTS}, () => createRequest());
    for (const request of online) pool.acquire(request, 0);
    const late = createBatch({dueMs: 9000});
    const soon = createBatch({dueMs: 4000});
    pool.acquire(late, 0);
    pool.acquire(soon, 0);
    // One place stays free of batch items.
    for (const {grantId} of online.slice(0, 2)) {
      pool.release(grantId, CallOutcome.SUCCEEDED, 700);
    }
    const settled = pool.settle(700);
    expect(settled.map(({request}) => request.grantId)).to.deep.equal([
      soon.grantId,
    ]);
  });

  it('refuses at once what cannot start in time, with a time to come back', () => {
    const pool = createPool(1);
    for (let i = 0; i < SLOTS; i += 1) pool.acquire(createRequest(), 0);
    // Places are held for half a second until a hold time was seen.
    const decisions = Array.from({length: 40}, () =>
      pool.acquire(createRequest(), 0),
    );
    const refused = decisions.filter(({kind}) => kind === 'refused');
    expect(refused.length).to.be.above(30);
    for (const decision of refused) {
      if (decision.kind !== 'refused') continue;
      expect(decision.reason).to.equal(RefusalReason.TOO_LATE);
      expect(decision.retryAfterMs).to.be.within(50, 2000);
    }
  });

  it('lets work wait whose time for a prompt refusal is over', () => {
    const pool = createPool(1);
    for (let i = 0; i < SLOTS; i += 1) pool.acquire(createRequest(), 0);
    const again = createRequest({refuseByMs: 0, excluded: ['s-0']});
    expect(pool.acquire(again, 0).kind).to.equal('queued');
  });

  it('waits for the next trial of a server that broke off', () => {
    const pool = createPool(1);
    const broken = createRequest();
    pool.acquire(broken, 0);
    pool.release(broken.grantId, CallOutcome.BROKEN, 10);
    const next = createRequest({dueMs: 400});
    expect(pool.acquire(next, 20).kind).to.equal('queued');
    expect(pool.settle(300).map(({decision}) => decision.kind)).to.deep.equal([
      'granted',
    ]);
  });

  it('takes batch items that ask again for no sign of overload', () => {
    const pool = createPool(1);
    for (let i = 0; i < SLOTS; i += 1) pool.acquire(createRequest(), 0);
    for (let nowMs = 0; nowMs < 9000; nowMs += 100) {
      pool.acquire(createBatch({giveUpMs: nowMs}), nowMs);
      pool.settle(nowMs + 1);
    }
    const late = createRequest({dueMs: 9000, refuseByMs: 9100});
    const decision = pool.acquire(late, 9050);
    if (decision.kind !== 'refused') throw new Error(decision.kind);
    // A first period of overload is taken for one second.
    expect(decision.retryAfterMs).to.be.within(1000, 1500);
  });

  it('refuses without servers at once', () => {
    const decision = new SlotPool().acquire(createRequest(), 0);
    expect(decision).to.include({
      kind: 'refused',
      reason: RefusalReason.NO_SERVER,
    });
  });

  it('keeps a cold server within its requests a second', () => {
    const pool = new SlotPool();
    pool.setColdLimit(10);
    pool.setServers([{id: 's', zone: 'zone-a', slots: 100, coldUntilMs: 5000}]);
    const granted: number[] = [];
    for (let nowMs = 0; nowMs < 3000; nowMs += 10) {
      const request = createRequest({dueMs: nowMs + 300, giveUpMs: nowMs});
      const decision = pool.acquire(request, nowMs);
      if (decision.kind === 'granted') granted.push(nowMs);
      pool.cancel(request.grantId);
    }
    for (const startMs of granted) {
      const inWindow = granted.filter(
        (ms) => ms >= startMs && ms < startMs + 1000,
      );
      expect(inWindow.length).to.be.at.most(10);
    }
    expect(granted.length).to.be.at.least(30);
  });

  it('prefers servers of the same zone while their load is similar', () => {
    const pool = createPool(2);
    const servers = Array.from({length: 3}, () => {
      const decision = pool.acquire(createRequest({zone: 'zone-b'}), 0);
      return decision.kind === 'granted' ? decision.serverId : '';
    });
    expect(servers).to.deep.equal(['s-1', 's-1', 's-1']);
  });

  it('tries another server first, and the same one when there is no other', () => {
    const pool = createPool(2);
    const other = pool.acquire(createRequest({excluded: ['s-0']}), 0);
    expect(other).to.deep.equal({kind: 'granted', serverId: 's-1'});
    const only = createPool(1);
    const again = only.acquire(createRequest({excluded: ['s-0']}), 0);
    expect(again).to.deep.equal({kind: 'granted', serverId: 's-0'});
  });

  it('takes over what holders say they hold, and frees what they do not', () => {
    const pool = createPool(1);
    const known = createRequest();
    pool.acquire(known, 0);
    const holding = {
      grantId: 'from-a-former-owner',
      serverId: 's-0',
      isBatch: true,
      workspace: 'w',
      dueInMs: 100,
    };
    pool.updateHolder('host-1', [holding], 1000, 500);
    expect(pool.countGrants()).to.equal(1);
    pool.updateHolder('host-1', [], 3000, 500);
    expect(pool.countGrants()).to.equal(0);
  });

  it('keeps a grant that is still on its way to its holder', () => {
    const pool = createPool(1);
    pool.acquire(createRequest(), 0);
    pool.updateHolder('host-1', [], 100, 500);
    expect(pool.countGrants()).to.equal(1);
  });

  it('frees the places of a holder that is gone', () => {
    const pool = createPool(1);
    for (let i = 0; i < SLOTS; i += 1) pool.acquire(createRequest(), 0);
    pool.dropHolder('host-1');
    expect(pool.countGrants()).to.equal(0);
  });

  it('sends nothing to a server that is silent, and tries it again soon', () => {
    const pool = createPool(1);
    const request = createRequest();
    pool.acquire(request, 0);
    pool.release(request.grantId, CallOutcome.SILENT, 100);
    const waiting = createRequest();
    expect(pool.acquire(waiting, 110).kind).not.to.equal('granted');
    pool.cancel(waiting.grantId);
    expect(pool.acquire(createRequest({dueMs: 1500}), 1200).kind).to.equal(
      'granted',
    );
  });
});

/** Traffic of a model pool in a crest and a trough, as the users' sheets have it. */
const CREST_MS = 2400;
const TROUGH_MS = 3400;

/** One simulated run of the pool under such traffic. */
function replayLoad(
  servers: number,
  crestPerSecond: number,
): {
  onTime: number;
  late: number;
  refused: number;
  batchDone: number;
} {
  const pool = createPool(servers);
  const ends: Array<{atMs: number; grantId: string; isBatch: boolean}> = [];
  const waits = new Map<string, number>();
  const left = new Map<string, number>();
  const outcome = {onTime: 0, late: 0, refused: 0, batchDone: 0};
  let credit = 0;
  const begin = (request: PoolRequest, nowMs: number): void => {
    const isBatch = request.isBatch;
    const holdMs = isBatch ? (left.get(request.grantId) ?? 5000) : 740;
    ends.push({atMs: nowMs + holdMs, grantId: request.grantId, isBatch});
    if (isBatch) return;
    const waitedMs = nowMs - (waits.get(request.grantId) ?? nowMs);
    if (waitedMs + 40 <= 300) outcome.onTime += 1;
    else outcome.late += 1;
  };
  const ask = (request: PoolRequest, nowMs: number): void => {
    waits.set(request.grantId, nowMs);
    const decision = pool.acquire(request, nowMs);
    if (decision.kind === 'granted') begin(request, nowMs);
    if (decision.kind === 'refused') outcome.refused += 1;
  };
  for (let i = 0; i < servers * SLOTS; i += 1) ask(createBatch(), 0);
  for (let nowMs = 0; nowMs < 30_000; nowMs += 5) {
    for (const end of ends.filter((entry) => entry.atMs <= nowMs)) {
      ends.splice(ends.indexOf(end), 1);
      pool.release(end.grantId, CallOutcome.SUCCEEDED, nowMs);
      if (!end.isBatch) continue;
      outcome.batchDone += 1;
      ask(createBatch({dueMs: nowMs + 18_000}), nowMs);
    }
    const isCrest = nowMs % (CREST_MS + TROUGH_MS) >= TROUGH_MS;
    credit += ((isCrest ? crestPerSecond : crestPerSecond / 5) * 5) / 1000;
    for (; credit >= 1; credit -= 1) {
      ask(
        createRequest({
          dueMs: nowMs + 300,
          refuseByMs: nowMs + 65,
          giveUpMs: nowMs + 1200,
        }),
        nowMs,
      );
    }
    for (const grantId of pool.takeYields('host-1')) {
      const index = ends.findIndex((end) => end.grantId === grantId);
      const [end] = ends.splice(index, 1);
      pool.release(grantId, CallOutcome.ABANDONED, nowMs);
      // The item goes on where it was interrupted.
      const again = createBatch({dueMs: nowMs + 10_000});
      left.set(again.grantId, (end?.atMs ?? nowMs) - nowMs);
      ask(again, nowMs);
    }
    for (const {request, decision} of pool.settle(nowMs)) {
      if (decision.kind === 'granted') begin(request, nowMs);
      if (decision.kind === 'refused') outcome.refused += 1;
    }
  }
  return outcome;
}

describe('PlacePool under crests and troughs', () => {
  it('serves every online request in time beside batch items', () => {
    // 48 places, 36 of them needed at the crest.
    const outcome = replayLoad(6, 48);
    expect(outcome.late + outcome.refused).to.equal(0);
    // Batch uses what is left: 48 places less 19 on the mean, 5 s an item.
    expect(outcome.batchDone).to.be.above(120);
  });

  it('refuses what a crest beyond all places brings, and serves the rest in time', () => {
    // 48 places, 74 needed at the crest.
    const outcome = replayLoad(6, 100);
    expect(outcome.refused).to.be.above(0);
    expect(outcome.late).to.be.below(outcome.onTime * 0.05);
    // Of 5 crests with 240 requests each, 48 places take 65 a second.
    expect(outcome.onTime).to.be.above(900);
  });
});

describe('ZoneRoutes', () => {
  it('closes the way to a zone after two servers could not be reached', () => {
    const routes = new ZoneCircuitBreakers();
    routes.record('a', 'b', CallOutcome.UNREACHABLE, 0);
    expect(routes.isOpen('a', 'b', 1)).to.equal(true);
    routes.record('a', 'b', CallOutcome.UNREACHABLE, 2);
    expect(routes.isOpen('a', 'b', 3)).to.equal(false);
    expect(routes.isOpen('b', 'a', 3)).to.equal(true);
    expect(routes.isOpen('a', 'b', 600)).to.equal(true);
    routes.record('a', 'b', CallOutcome.UNREACHABLE, 601);
    expect(routes.isOpen('a', 'b', 1200)).to.equal(false);
    routes.record('a', 'b', CallOutcome.SUCCEEDED, 2000);
    expect(routes.isOpen('a', 'b', 2000)).to.equal(true);
  });

  it('never closes the way within a zone', () => {
    const routes = new ZoneCircuitBreakers();
    for (let i = 0; i < 5; i += 1) {
      routes.record('a', 'a', CallOutcome.UNREACHABLE, i);
    }
    expect(routes.isOpen('a', 'a', 6)).to.equal(true);
  });
});
