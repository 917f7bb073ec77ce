import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {createFleet, createPeerRouter, type Fleet} from '../src/index.js';
import {
  createEnvironment,
  createSettings,
  ReplaceableEnvironment,
  MemoryHostList,
  MemoryTable,
} from './fakes.js';

const clock = new SystemClock();

/** Waits until a condition holds, at most until the test times out. */
async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await clock.sleep(10);
}

describe('Fleet', () => {
  let fleets: Fleet[] = [];
  const hostList = new MemoryHostList();
  const table = new MemoryTable();
  const environment = new ReplaceableEnvironment(
    createEnvironment({'zone-a': 6, 'zone-b': 6}),
  );

  async function startFleet(host: string, zone: string): Promise<Fleet> {
    const fleet = createFleet({
      settings: createSettings(host, zone),
      incarnation: `${host}-1`,
      clock,
      log: new MemoryEventLog(),
      hostList,
      table,
      environment,
    });
    fleets.push(fleet);
    await fleet.start(createPeerRouter({fleet: fleet.router}));
    hostList.add(fleet.self);
    return fleet;
  }

  afterEach(async () => {
    await Promise.all(fleets.map((fleet) => fleet.stop()));
    fleets = [];
    hostList.hosts.clear();
    table.rows.clear();
  });

  /** Lists the quota slots that are delegated for a key to each daemon. */
  const listSlots = (key: string) =>
    fleets.map((fleet) => fleet.getDelegatedShare(key).slots);

  it('delegates all quota slots of a zone to the owner of a key', async () => {
    await startFleet('host-1', 'zone-a');
    await startFleet('host-2', 'zone-a');
    await startFleet('host-3', 'zone-a');
    await waitUntil(() => fleets.every((f) => f.getStatus().usableSlots === 2));
    for (const key of ['k1', 'k2', 'k3', 'k4', 'k5']) {
      await waitUntil(() => listSlots(key).includes(6));
      const owner = fleets[0]!.computeOwner(key, 'zone-a');
      const slots = listSlots(key);
      expect(slots.reduce((a, b) => a + b)).to.equal(6);
      expect(fleets[slots.indexOf(6)]!.self.host).to.equal(owner?.host);
    }
  });

  it('keeps quota slots while table and host list are unavailable', async () => {
    await startFleet('host-1', 'zone-a');
    await startFleet('host-2', 'zone-a');
    await waitUntil(() => listSlots('k').includes(6));
    table.isUnavailable = true;
    hostList.isUnavailable = true;
    await clock.sleep(600);
    table.isUnavailable = false;
    hostList.isUnavailable = false;
    expect(listSlots('k')).to.include(6);
  });

  it('moves the quota slots of a daemon that stops', async () => {
    await startFleet('host-1', 'zone-a');
    const second = await startFleet('host-2', 'zone-a');
    await waitUntil(() => listSlots('k').includes(6));
    await second.leave();
    expect(fleets[0]!.listAlive('zone-a')).to.have.length(1);
    await second.stop();
    fleets = fleets.slice(0, 1);
    hostList.hosts.delete('host-2');
    await waitUntil(() => listSlots('k')[0] === 6);
  });

  it('sees the daemons of other zones', async () => {
    await startFleet('host-1', 'zone-a');
    await startFleet('host-2', 'zone-b');
    await waitUntil(() => fleets[0]!.listZones().length === 2);
    expect(fleets[0]!.computeOwner('k', 'zone-b')?.host).to.equal('host-2');
  });
});
