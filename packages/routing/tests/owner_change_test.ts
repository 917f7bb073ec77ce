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

  it('counts the slots that the old owner granted', async () => {
    await start();
    const grant = await acquireSlot(h3);
    h1.isAlive = false;
    fleet.setOwner(h2);
    await fleet.advance(300);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    expect(await acquire(h3)).to.equal(OVERLOADED);
    h3.node.release(grant, COMPLETED);
    await waitUntilIdle();
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('grants nothing on a cold server while a holder has not answered', async () => {
    await start();
    await acquireSlot(h3);
    h1.isAlive = false;
    fleet.unresponsiveHosts.add('h3');
    fleet.setEngine('s1', {running: 1});
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    await fleet.advance(20_000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
  });

  it('does not rely on load reports alone before the holders have answered', async () => {
    await start();
    await acquireSlot(h3);
    h1.isAlive = false;
    fleet.unresponsiveHosts.add('h3');
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(await acquire(h2)).to.equal(OVERLOADED);
  });

  it('counts load reports until every live holder has answered', async () => {
    await start();
    h1.isAlive = false;
    fleet.unresponsiveHosts.add('h3');
    fleet.setOwner(h2);
    await fleet.advance(9000);
    fleet.setEngine('s1', {running: 1});
    await fleet.advance(300);
    expect(await acquire(h2)).to.equal(OVERLOADED);
    fleet.unresponsiveHosts.clear();
    fleet.setEngine('s1', {running: 0});
    await fleet.advance(7000);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('does not count a slot that is released while the holder answers', async () => {
    await start();
    const grant = await acquireSlot(h3);
    h1.isAlive = false;
    const resumeAnswers = fleet.suspendAnswers('register');
    fleet.setOwner(h2);
    await fleet.advance(200);
    h3.node.release(grant, COMPLETED);
    await waitUntilIdle();
    resumeAnswers();
    await fleet.advance(200);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('releases a slot that the old owner granted too late to be recovered', async () => {
    await start(WARM_POOL);
    const resumeAnswers = fleet.suspendAnswers('acquire');
    const lateGrant = acquire(h3, {maxWaitMs: 2000});
    await waitUntilIdle();
    fleet.setOwner(h2);
    await fleet.advance(300);
    resumeAnswers();
    await fleet.advance(300);
    const outcome = await lateGrant;
    expect(outcome).to.have.nested.property('owner.host', 'h2');
  });

  it('ends the wait at an owner whose leases have expired', async () => {
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

  it('hands over the warm-up of servers', async () => {
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

  it('treats a server that has restarted since then as cold', async () => {
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

  it('does not preempt batch work because of the change alone', async () => {
    await start(WARM_POOL);
    const trafficClass = TrafficClass.BATCH;
    const grants = [];
    for (let i = 0; i < 3; i++) {
      grants.push(await acquireSlot(h3, {trafficClass}));
      await fleet.advance(100);
    }
    h1.isAlive = false;
    fleet.setOwner(h2);
    await fleet.advance(1000);
    expect(grants.some((grant) => grant.preemptionSignal.aborted)).to.equal(
      false,
    );
    expect(h2.node.getStatus().pools[0]?.servers[0]?.grantedBatch).to.equal(3);
  });

  it('recovers grants only once more when the share grows several times meanwhile', async () => {
    await start();
    const resumeAnswers = fleet.suspendAnswers('register');
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
    resumeAnswers();
    await fleet.advance(300);
    expect(fleet.calls.get('register')).to.equal(4);
    expect(h1.node.getStatus().pools[0]?.isSettled).to.equal(true);
    expect(await acquire(h2)).to.have.property('grantId');
  });

  it('recovers grants again after leases expired during a recovery', async () => {
    await start();
    const resumeAnswers = fleet.suspendAnswers('register');
    fleet.shares.delete('h1');
    await fleet.advance(5000, 5000);
    fleet.setOwner(h2);
    await fleet.advance(100);
    resumeAnswers();
    await waitUntilIdle();
    fleet.setOwner(h1);
    await fleet.advance(300);
    expect(h1.node.getStatus().pools[0]?.isSettled).to.equal(true);
    expect(await acquire(h3)).to.have.property('grantId');
  });

  it('recovers grants again after an event-loop pause of the owner', async () => {
    await start();
    const before = h1.node.getStatus().counters.settlements;
    await fleet.advance(5000, 5000);
    expect(h1.node.getStatus().counters.settlements).to.equal(before + 1);
  });

  it('stops granting when its leases have expired', async () => {
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

  it('frees a slot whose release was lost', async () => {
    const grant = await acquireSlot(holder);
    fleet.lostCalls.add('release');
    holder.node.release(grant, COMPLETED);
    await fleet.advance(2000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
    fleet.lostCalls.clear();
    await fleet.advance(10_000);
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('does not free slots in use by reconciliation', async () => {
    await acquireSlot(holder);
    await fleet.advance(25_000);
    expect(await acquire(owner)).to.equal(OVERLOADED);
  });

  it('does not free a slot whose grant is still in transit', async () => {
    const resumeAnswers = fleet.suspendAnswers('acquire');
    const lateGrant = acquire(holder, {maxWaitMs: 30_000});
    await fleet.advance(12_000);
    resumeAnswers();
    expect(await lateGrant).to.have.property('grantId');
    expect(owner.node.getStatus().counters.droppedGrants).to.equal(0);
  });

  it('grants one slot to a request that is sent twice', async () => {
    const request = {
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
    const first = await owner.node.handleAcquire(holder.info, request);
    const second = await owner.node.handleAcquire(holder.info, request);
    expect(second).to.deep.equal(first);
    expect(owner.node.getStatus().counters.granted).to.equal(1);
  });

  it('frees a slot whose grant was lost', async () => {
    fleet.lostAnswers.add('acquire');
    expect(await acquire(holder)).to.equal(ErrorCode.UNAVAILABLE);
    fleet.lostAnswers.clear();
    await waitUntilIdle();
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('frees the slot of a caller that leaves while waiting', async () => {
    const grant = await acquireSlot(owner);
    const leaving = new AbortController();
    const {signal} = leaving;
    const waiting = acquire(holder, {maxWaitMs: 5000, signal});
    await waitUntilIdle();
    leaving.abort();
    expect(await waiting).to.equal(ErrorCode.CANCELLED);
    await waitUntilIdle();
    owner.node.release(grant, COMPLETED);
    await waitUntilIdle();
    expect(await acquire(owner)).to.have.property('grantId');
  });

  it('waits longer than one long poll, and keeps its position in the queue', async () => {
    const grant = await acquireSlot(owner);
    const waiting = acquire(holder, {maxWaitMs: 3000});
    await fleet.advance(2000);
    owner.node.release(grant, COMPLETED);
    await waitUntilIdle();
    expect(await waiting).to.have.property('grantId');
  });

  it('frees slots of a dead holder once the engine no longer runs their requests', async () => {
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
