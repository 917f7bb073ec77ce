import {ErrorCode} from '@savoryspur/common';
import {SlotUsageEnd} from '@savoryspur/routing';
import {SlotTrafficClass, TrafficClass} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  acquire,
  acquireSlot,
  FakeFleet,
  type FakeHost,
  TEST_POOL,
  waitUntilIdle,
  WARM_POOL,
} from './fake_fleet.js';

const COMPLETED = {end: SlotUsageEnd.COMPLETED};
const {OVERLOADED} = ErrorCode;

describe('change of owner', () => {
  let fleet: FakeFleet;
  let h1: FakeHost;
  let h2: FakeHost;
  let h3: FakeHost;

  async function start(pool = TEST_POOL): Promise<void> {
    fleet = new FakeFleet(pool);
    fleet.addZone('z1', ['s1']);
    h1 = fleet.addHost('h1', 'z1');
    h2 = fleet.addHost('h2', 'z1');
    h3 = fleet.addHost('h3', 'z1');
    await waitUntilIdle();
  }

  afterEach(() => fleet.stop());

  it('counts the places that the old owner granted', async () => {
    await start();
    const place = await acquireSlot(h3);
    h1.isAlive = false;
    fleet.setOwner(h2);
    await fleet.advance(300);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    expect(await acquire(h3)).to.equal(OVERLOADED);
    h3.node.release(place, COMPLETED);
    await waitUntilIdle();
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('keeps a cold server closed while a holder has not answered', async () => {
    await start();
    await acquireSlot(h3);
    h1.isAlive = false;
    fleet.silentHosts.add('h3');
    fleet.setEngine('s1', {running: 1});
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    await fleet.advance(20_000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
  });

  it('does not trust load reports before the holders have answered', async () => {
    await start();
    await acquireSlot(h3);
    h1.isAlive = false;
    fleet.silentHosts.add('h3');
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
  });

  it('counts load reports until every living holder has answered', async () => {
    await start();
    h1.isAlive = false;
    fleet.silentHosts.add('h3');
    fleet.setOwner(h2);
    await fleet.advance(9000);
    fleet.setEngine('s1', {running: 1});
    await fleet.advance(300);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    fleet.silentHosts.clear();
    fleet.setEngine('s1', {running: 0});
    await fleet.advance(7000);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('does not count a place released while the holder answers', async () => {
    await start();
    const place = await acquireSlot(h3);
    h1.isAlive = false;
    const openAnswers = fleet.suspendAnswers('register');
    fleet.setOwner(h2);
    await fleet.advance(200);
    h3.node.release(place, COMPLETED);
    await waitUntilIdle();
    openAnswers();
    await fleet.advance(200);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('gives a place back that the old owner granted too late to be counted', async () => {
    await start(WARM_POOL);
    const openAnswers = fleet.suspendAnswers('acquire');
    const late = acquire(h3, {maxWaitMs: 2000});
    await waitUntilIdle();
    fleet.setOwner(h2);
    await fleet.advance(300);
    openAnswers();
    await fleet.advance(300);
    const outcome = await late;
    expect(outcome).to.have.nested.property('owner.host', 'h2');
  });

  it('ends the wait at an owner whose leases have lapsed', async () => {
    await start();
    await acquireSlot(h3);
    const waiting = acquire(h2, {maxWaitMs: 60_000});
    await waitUntilIdle();
    fleet.setOwner(h3);
    await fleet.advance(500);
    expect(h1.node.getStatus().pools[0]?.queuedOnline).to.equal(0);
    expect(h3.node.getStatus().pools[0]?.queuedOnline).to.equal(1);
    await fleet.advance(61_000, 1000);
    expect(await waiting).to.equal(OVERLOADED);
  });

  it('hands the warmth of servers over', async () => {
    await start();
    for (let i = 0; i < 5; i++) {
      h3.node.release(await acquireSlot(h3), COMPLETED);
      await waitUntilIdle();
    }
    h1.isAlive = false;
    fleet.setOwner(h2);
    await fleet.advance(300);
    const server = h2.node.getStatus().pools[0]?.servers[0];
    expect(server?.capacity).to.equal(TEST_POOL.warmCapacity);
  });

  it('takes a server that runs anew since then as cold', async () => {
    await start();
    for (let i = 0; i < 5; i++) {
      h3.node.release(await acquireSlot(h3), COMPLETED);
      await waitUntilIdle();
    }
    h1.isAlive = false;
    fleet.setEngine('s1', {boot: 'b2'});
    fleet.setOwner(h2);
    await fleet.advance(300);
    const server = h2.node.getStatus().pools[0]?.servers[0];
    expect(server?.capacity).to.equal(1);
  });

  it('does not take batch places back for the change alone', async () => {
    await start(WARM_POOL);
    const trafficClass = TrafficClass.BATCH;
    const places = [];
    for (let i = 0; i < 3; i++) {
      places.push(await acquireSlot(h3, {trafficClass}));
      await fleet.advance(100);
    }
    h1.isAlive = false;
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(places.some((place) => place.preemptionSignal.aborted)).to.equal(
      false,
    );
    expect(h2.node.getStatus().pools[0]?.servers[0]?.grantedBatch).to.equal(3);
  });

  it('settles once more for all growth while it settles', async () => {
    await start();
    const openAnswers = fleet.suspendAnswers('register');
    fleet.calls.clear();
    const delegators = new Map<string, number>();
    for (let slots = 1; slots <= 4; slots++) {
      delegators.set(`host-${slots}`, 1);
      fleet.shares.set('h1', {
        slots,
        zoneSlots: 4,
        fleetSlots: 4,
        delegators: new Map(delegators),
      });
      await fleet.advance(100);
    }
    openAnswers();
    await fleet.advance(300);
    expect(fleet.calls.get('register')).to.equal(4);
    expect(h1.node.getStatus().pools[0]?.isSettled).to.equal(true);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('settles after leases lapsed while it was settling', async () => {
    await start();
    const openAnswers = fleet.suspendAnswers('register');
    fleet.shares.delete('h1');
    await fleet.advance(5000, 5000);
    fleet.setOwner(h2);
    await fleet.advance(100);
    openAnswers();
    await waitUntilIdle();
    fleet.setOwner(h1);
    await fleet.advance(300);
    expect(h1.node.getStatus().pools[0]?.isSettled).to.equal(true);
    expect(await acquire(h3)).to.have.property('grantId');
  });

  it('settles anew after a pause of the owner', async () => {
    await start();
    const before = h1.node.getStatus().counters.settlements;
    await fleet.advance(5000, 5000);
    expect(h1.node.getStatus().counters.settlements).to.equal(before + 1);
  });

  it('stops granting when its leases have lapsed', async () => {
    await start(WARM_POOL);
    const delegators = new Map<string, number>();
    fleet.shares.set('h1', {slots: 0, zoneSlots: 4, fleetSlots: 4, delegators});
    expect(await acquire(h3)).to.equal(ErrorCode.UNAVAILABLE);
  });
});

describe('lost messages and hosts', () => {
  let fleet: FakeFleet;
  let owner: FakeHost;
  let holder: FakeHost;

  beforeEach(async () => {
    fleet = new FakeFleet();
    fleet.addZone('z1', ['s1']);
    owner = fleet.addHost('h1', 'z1');
    holder = fleet.addHost('h2', 'z1');
    await waitUntilIdle();
  });
  afterEach(() => fleet.stop());

  it('frees a place whose release was lost', async () => {
    const place = await acquireSlot(holder);
    fleet.lostCalls.add('release');
    holder.node.release(place, COMPLETED);
    await fleet.advance(2000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
    fleet.lostCalls.clear();
    await fleet.advance(10_000);
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('keeps places that are in use through reconciliation', async () => {
    await acquireSlot(holder);
    await fleet.advance(25_000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
  });

  it('keeps a place whose grant is still on its way', async () => {
    const openAnswers = fleet.suspendAnswers('acquire');
    const late = acquire(holder, {maxWaitMs: 30_000});
    await fleet.advance(12_000);
    openAnswers();
    expect(await late).to.have.property('grantId');
    expect(owner.node.getStatus().counters.droppedGrants).to.equal(0);
  });

  it('gives one place to a wish that is sent twice', async () => {
    const wish = {
      grantId: 'g1',
      pool: TEST_POOL.name,
      workspace: 'w1',
      trafficClass: SlotTrafficClass.ONLINE,
      prefixHash: '',
      fingerprint: 'f1',
      waitMs: 0,
      excludedServers: [],
      isSuspect: false,
    };
    const first = await owner.node.handleAcquire(holder.info, wish);
    const second = await owner.node.handleAcquire(holder.info, wish);
    expect(second).to.deep.equal(first);
    expect(owner.node.getStatus().counters.granted).to.equal(1);
  });

  it('frees a place whose grant was lost', async () => {
    fleet.lostAnswers.add('acquire');
    expect(await acquire(holder)).to.equal(ErrorCode.UNAVAILABLE);
    fleet.lostAnswers.clear();
    await waitUntilIdle();
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('frees the place of a caller that leaves while it waits', async () => {
    const place = await acquireSlot(owner);
    const leaving = new AbortController();
    const {signal} = leaving;
    const waiting = acquire(holder, {maxWaitMs: 5000, signal});
    await waitUntilIdle();
    leaving.abort();
    expect(await waiting).to.equal(ErrorCode.CANCELLED);
    await waitUntilIdle();
    owner.node.release(place, COMPLETED);
    await waitUntilIdle();
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('waits longer than one call may last, and keeps its turn', async () => {
    const place = await acquireSlot(owner);
    const waiting = acquire(holder, {maxWaitMs: 3000});
    await fleet.advance(2000);
    owner.node.release(place, COMPLETED);
    await waitUntilIdle();
    expect(await waiting).to.have.property('grantId');
  });

  it('frees places of a dead holder once the engine does not run them', async () => {
    await acquireSlot(holder);
    fleet.setEngine('s1', {running: 1});
    holder.isAlive = false;
    await fleet.advance(4000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
    await fleet.advance(20_000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
    fleet.setEngine('s1', {running: 0});
    await fleet.advance(6000);
    expect(await acquire(owner)).to.have.property('grantId');
  });
});
