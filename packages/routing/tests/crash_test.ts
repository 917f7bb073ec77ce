import {ErrorCode} from '@savoryspur/common';
import {
  SlotUsageEnd,
  type SlotGrant,
  type SlotRequest,
} from '@savoryspur/routing';
import {TrafficClass} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  acquire,
  acquireSlot,
  FakeFleet,
  type FakeHost,
  waitUntilIdle,
  WARM_POOL,
} from './fake_fleet.js';

const CRASHED = {end: SlotUsageEnd.CRASHED};
const COMPLETED = {end: SlotUsageEnd.COMPLETED};
const POISON = 'poison';
const SOUND_ITEM = {
  fingerprint: 'sound item',
  trafficClass: TrafficClass.BATCH,
};

let fleet: FakeFleet;
let h1: FakeHost;
let h2: FakeHost;
let h9: FakeHost;
let boots = 1;

async function startFleet(): Promise<void> {
  fleet = new FakeFleet(WARM_POOL);
  fleet.addZone('z1', ['s1', 's2', 's3']);
  fleet.addZone('z2', ['s9']);
  h1 = fleet.addHost('h1', 'z1');
  h2 = fleet.addHost('h2', 'z1');
  h9 = fleet.addHost('h9', 'z2');
  await fleet.advance(200);
}

/**
 * Crashes a server, restarts it, and ends the given grants, which must be on
 * that server, as crashed.
 */
async function failServer(grants: Array<[FakeHost, SlotGrant]>): Promise<void> {
  boots += 1;
  const server = grants[0]?.[1].server.id ?? '';
  fleet.setEngine(server, {boot: `b${boots}`});
  for (const [host, grant] of grants) host.node.release(grant, CRASHED);
  await fleet.advance(300);
}

describe('requests that crash servers', () => {
  beforeEach(startFleet);
  afterEach(() => fleet.stop());

  it('are quarantined by the second crash and refused on every host', async () => {
    const neighbour = {fingerprint: 'neighbour', excludedServers: ['s2', 's3']};
    const first = await acquireSlot(h1, neighbour);
    const poison = {fingerprint: POISON, excludedServers: ['s2', 's3']};
    const second = await acquireSlot(h2, poison);
    await failServer([
      [h1, first],
      [h2, second],
    ]);
    const retried = await acquireSlot(h1, {fingerprint: 'neighbour'});
    const again = await acquireSlot(h9, {
      fingerprint: POISON,
      excludedServers: ['s9'],
    });
    expect(again.server.id).not.to.equal(retried.server.id);
    await failServer([[h9, again]]);
    for (const host of [h1, h2, h9]) {
      expect(await acquire(host, {fingerprint: POISON})).to.equal(
        ErrorCode.QUARANTINED,
      );
    }
    h1.node.release(retried, COMPLETED);
    await fleet.advance(300);
    expect(await acquire(h1, {fingerprint: 'neighbour'})).to.have.property(
      'grantId',
    );
    expect(fleet.stored.map((record) => record.fingerprint)).to.deep.equal([
      POISON,
    ]);
    expect(h9.node.getStatus().suspects).to.equal(0);
  });

  it('are refused by a host that starts later, until the quarantine expires', async () => {
    fleet.stored.push({fingerprint: POISON, servers: ['s1', 's2']});
    const h3 = fleet.addHost('h3', 'z1');
    await fleet.advance(300);
    expect(await acquire(h3, {fingerprint: POISON})).to.equal(
      ErrorCode.QUARANTINED,
    );
    await fleet.advance(4_800_000, 600_000);
    await fleet.advance(3000);
    expect(await acquire(h3, {fingerprint: POISON})).to.have.property(
      'grantId',
    );
  });

  it('are not suspected when connections break while the server keeps running', async () => {
    for (let i = 0; i < 4; i++) {
      const grant = await acquireSlot(h1, {fingerprint: 'unlucky'});
      h1.node.release(grant, CRASHED);
      await fleet.advance(1500);
    }
    expect(await acquire(h1, {fingerprint: 'unlucky'})).to.have.property(
      'grantId',
    );
  });

  it('do not share a server with another suspect', async () => {
    const grants: Array<[FakeHost, SlotGrant]> = [];
    for (const fingerprint of ['neighbour', POISON]) {
      const excludedServers = ['s2', 's3', 's9'];
      const grant = await acquireSlot(h1, {fingerprint, excludedServers});
      grants.push([h1, grant]);
    }
    await failServer(grants);
    const excludedServers = ['s1', 's3', 's9'];
    await acquireSlot(h1, {fingerprint: 'neighbour', excludedServers});
    expect(await acquire(h1, {fingerprint: POISON, excludedServers})).to.equal(
      ErrorCode.OVERLOADED,
    );
    expect(await acquire(h1, {excludedServers})).to.have.property('grantId');
  });

  it('are blocked until the crash check of the second crash has ended', async () => {
    const first = await acquireSlot(h1, {fingerprint: POISON});
    await failServer([[h1, first]]);
    const second = await acquireSlot(h1, {fingerprint: POISON});
    h1.node.release(second, CRASHED);
    await waitUntilIdle();
    expect(await acquire(h2, {fingerprint: POISON})).to.equal(
      ErrorCode.OVERLOADED,
    );
  });

  it('are quarantined when the crashed servers do not restart', async () => {
    for (const server of ['s1', 's2']) {
      const others = ['s1', 's2', 's3'].filter((id) => id !== server);
      const grant = await acquireSlot(h1, {
        fingerprint: POISON,
        excludedServers: others,
      });
      fleet.setEngine(server, undefined);
      h1.node.release(grant, CRASHED);
      await fleet.advance(500);
    }
    expect(await acquire(h9, {fingerprint: POISON})).to.equal(
      ErrorCode.QUARANTINED,
    );
    expect((await acquireSlot(h1)).server.id).to.equal('s3');
  });
});

/** Number of servers that crash in series while they run the same item. */
const CRASHES = 6;

describe('batch items under which servers crash', () => {
  beforeEach(startFleet);
  afterEach(() => fleet.stop());

  function acquireItem(
    host: FakeHost,
    fields: Partial<SlotRequest> = {},
  ): Promise<SlotGrant> {
    return acquireSlot(host, {...SOUND_ITEM, ...fields});
  }

  it('get a slot again after each of a series of crashes', async () => {
    for (let crash = 0; crash < CRASHES; crash++) {
      const host = [h1, h2, h9][crash % 3]!;
      await failServer([[host, await acquireItem(host)]]);
    }
    for (const host of [h1, h2, h9]) {
      expect(await acquire(host, SOUND_ITEM)).to.have.property('grantId');
    }
    expect(fleet.stored).to.deep.equal([]);
    expect(h1.node.getStatus().suspects).to.equal(0);
  });

  it('get a slot while the check of the latest crash is running', async () => {
    await failServer([[h1, await acquireItem(h1)]]);
    const second = await acquireItem(h1);
    h1.node.release(second, CRASHED);
    await waitUntilIdle();
    expect(await acquire(h2, SOUND_ITEM)).to.have.property('grantId');
  });

  it('share a server with a suspect that was in flight in the same crash', async () => {
    const suspect = {
      fingerprint: 'suspect',
      excludedServers: ['s2', 's3', 's9'],
    };
    const first = await acquireSlot(h1, suspect);
    const second = await acquireItem(h1, {
      excludedServers: suspect.excludedServers,
    });
    await failServer([
      [h1, first],
      [h1, second],
    ]);
    await acquireSlot(h1, suspect);
    await acquireItem(h1, {excludedServers: suspect.excludedServers});
  });

  it('get a slot although an online request with the same content is quarantined', async () => {
    fleet.stored.push({
      fingerprint: SOUND_ITEM.fingerprint,
      servers: ['s1', 's2'],
    });
    const h3 = fleet.addHost('h3', 'z1');
    await fleet.advance(300);
    expect(await acquire(h3, SOUND_ITEM)).to.have.property('grantId');
    expect(await acquire(h3, {fingerprint: SOUND_ITEM.fingerprint})).to.equal(
      ErrorCode.QUARANTINED,
    );
  });

  it('do not keep the online request that crashes the servers from its quarantine', async () => {
    for (const server of ['s1', 's2']) {
      const excludedServers = ['s1', 's2', 's3', 's9'].filter(
        (id) => id !== server,
      );
      const poison = await acquireSlot(h1, {
        fingerprint: POISON,
        excludedServers,
      });
      const item = await acquireItem(h2, {excludedServers});
      await failServer([
        [h2, item],
        [h1, poison],
      ]);
    }
    expect(await acquire(h2, {fingerprint: POISON})).to.equal(
      ErrorCode.QUARANTINED,
    );
    expect(await acquire(h2, SOUND_ITEM)).to.have.property('grantId');
  });
});
