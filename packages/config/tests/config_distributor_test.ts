import {expect} from 'chai';
import {EntityKind, ZoneState} from '@savoryspur/schema';
import type {ConfigStore} from '../src/index.js';
import {createMemoryStore, parseRight, SMALL_DOCUMENT} from './documents.js';
import {MemoryFleet} from './memory_fleet.js';
import {MemoryTable} from './memory_platform.js';

const ENVIRONMENT = 'production';

/** Three zones of hosts that all have version 1. */
async function startFleet(hostsPerZone = 9, maxAgeMs = 0) {
  const platform = createMemoryStore();
  const fleet = new MemoryFleet(platform.table, platform.objects);
  fleet.maxAgeMs = maxAgeMs;
  await platform.store.apply({
    environment: ENVIRONMENT,
    document: parseRight(SMALL_DOCUMENT),
    baseVersion: 0,
    operator: 'ann',
  });
  for (const zone of ['z1', 'z2', 'z3']) {
    for (let n = 0; n < hostsPerZone; n++) fleet.add(`${zone}-h${n}`, zone);
  }
  await pollAll(fleet);
  return {...platform, fleet};
}

async function pollAll(fleet: MemoryFleet): Promise<void> {
  for (const daemon of fleet.daemons.values()) {
    await daemon.distributor.pollOnce();
  }
  await fleet.drain();
}

function takeZoneOut(store: ConfigStore) {
  return store.setZoneState(ENVIRONMENT, 'lower-1', ZoneState.OUT, 'ann');
}

/** Commits through one daemon, as its operator's handler does. */
async function commitThrough(
  store: ConfigStore,
  fleet: MemoryFleet,
  host: string,
): Promise<void> {
  const committed = (await takeZoneOut(store))._unsafeUnwrap();
  const daemon = fleet.daemons.get(host);
  daemon?.distributor.applyCommit(ENVIRONMENT, committed);
  await fleet.drain();
}

describe('ConfigDistributor', () => {
  it('brings a change to every host of all zones by push alone', async () => {
    const {store, fleet} = await startFleet();
    await commitThrough(store, fleet, 'z2-h3');
    expect(new Set(fleet.listVersions())).to.deep.equal(new Set([2]));
  });

  it('needs the polls only for hosts whose push was lost', async () => {
    const {store, fleet} = await startFleet();
    fleet.isConnected = (from, to) =>
      from.host !== to.host && to.host !== 'z1-h4';
    await commitThrough(store, fleet, 'z1-h0');
    const cut = fleet.daemons.get('z1-h4');
    expect(cut?.follower.getState().version).to.equal(1);
    await cut?.distributor.pollOnce();
    expect(cut?.follower.getState().version).to.equal(2);
  });

  it('asks the sender for what lies between', async () => {
    const {store, fleet, table} = await startFleet(1);
    const sender = fleet.daemons.get('z1-h0');
    for (let n = 0; n < 3; n++) {
      const state = n % 2 === 0 ? ZoneState.OUT : ZoneState.IN;
      await store.setZoneState(ENVIRONMENT, 'lower-1', state, 'ann');
    }
    await sender?.follower.poll();
    const kept = sender?.follower.listChanges(3) ?? [];
    table.isDown = true;
    const receiver = fleet.daemons.get('z2-h0');
    const {version, digest} = sender!.follower.getState();
    const push = {environment: ENVIRONMENT, version, digest, changes: kept};
    receiver?.distributor.handlePush({...push, relay: false}, sender!.info);
    await fleet.drain();
    expect(receiver?.follower.getState().version).to.equal(4);
    expect(receiver?.follower.getState().digest).to.equal(digest);
  });

  it('drops a late message and a change that was tampered with', async () => {
    const {store, fleet} = await startFleet(1);
    const daemon = fleet.daemons.get('z1-h0')!;
    const late = {
      environment: ENVIRONMENT,
      version: 1,
      digest: daemon.follower.getState().digest,
      changes: [],
      relay: false,
    };
    await commitThrough(store, fleet, 'z1-h0');
    expect(daemon.distributor.handlePush(late, daemon.info).version).to.equal(
      2,
    );
    expect(daemon.follower.getState().version).to.equal(2);
    const [change] = daemon.follower.listChanges(1) ?? [];
    const removals = [{kind: EntityKind.ZONES, id: 'lower-2'}];
    const delta = {upserts: [], removals};
    const forged = {...change!, version: 3, delta};
    expect(daemon.follower.updateWithChanges([forged])).to.equal(false);
    expect(daemon.follower.getState().version).to.equal(2);
  });

  it('goes on when a peer answers with a state that is not whole', async () => {
    const {fleet, table} = await startFleet(2);
    const liar = fleet.daemons.get('z2-h0')!;
    const handleFetch = liar.distributor.handleFetch.bind(liar.distributor);
    liar.distributor.handleFetch = (fetch) => {
      const answer = handleFetch(fetch);
      const {snapshot} = answer;
      if (!snapshot) return {...answer, version: 9};
      return {...answer, snapshot: {...snapshot, version: 9, document: {}}};
    };
    table.isDown = true;
    const started = fleet.add('z1-h9', 'z1');
    await started.distributor.pollOnce();
    expect(started.follower.getState().version).to.equal(1);
  });

  it('gives a host that starts with the platform away the newest of its peers', async () => {
    const {store, fleet, table} = await startFleet(3);
    fleet.isConnected = (from, to) => from.zone === to.zone;
    await commitThrough(store, fleet, 'z2-h0');
    table.isDown = true;
    fleet.isConnected = () => true;
    const started = fleet.add('z1-h9', 'z1');
    await started.distributor.pollOnce();
    expect(started.follower.getState().version).to.equal(2);
  });

  it('reaches a zone that is cut from the platform over other zones', async () => {
    const {store, fleet, objects} = await startFleet(3);
    const away = new MemoryTable();
    away.isDown = true;
    for (let n = 0; n < 3; n++) fleet.add(`z3-h${n}`, 'z3', away);
    fleet.isConnected = (from, to, step) =>
      step === 'config.fetch' || from.zone === to.zone;
    await pollAll(fleet);
    objects.isDown = true;
    await commitThrough(store, fleet, 'z1-h1');
    expect(fleet.daemons.get('z3-h0')?.follower.getState().version).to.equal(1);
    await pollAll(fleet);
    expect(new Set(fleet.listVersions())).to.deep.equal(new Set([2]));
  });

  it('moves both sides of a cut forward only, and together after it', async () => {
    const {store, fleet, table} = await startFleet(3);
    fleet.isConnected = (from, to) => from.zone === to.zone;
    await commitThrough(store, fleet, 'z1-h0');
    const versions = fleet.listVersions();
    expect(versions).to.include(1).and.to.include(2);
    table.isDown = true;
    fleet.isConnected = () => true;
    await pollAll(fleet);
    expect(new Set(fleet.listVersions())).to.deep.equal(new Set([2]));
  });

  it('serves nobody in a zone that is cut from everything for the set time', async () => {
    const {fleet, objects} = await startFleet(3, 5000);
    // News come to the readers of the zone first, then to its other hosts.
    const pollTwice = async () => {
      await pollAll(fleet);
      await pollAll(fleet);
    };
    const away = new MemoryTable();
    away.isDown = true;
    const cut = [0, 1, 2].map((n) => fleet.add(`z3-h${n}`, 'z3', away));
    await pollTwice();
    objects.isDown = true;
    fleet.isConnected = (from, to) => from.zone === to.zone;
    fleet.clock.advance(4000);
    await pollTwice();
    const isServing = () =>
      new Set(cut.map((d) => d.follower.getCurrent() !== undefined));
    expect(isServing()).to.deep.equal(new Set([true]));
    fleet.clock.advance(1001);
    await pollTwice();
    expect(isServing()).to.deep.equal(new Set([false]));
    expect(fleet.daemons.get('z1-h0')?.follower.getCurrent()?.version).to.equal(
      1,
    );
    fleet.isConnected = () => true;
    await pollTwice();
    expect(isServing()).to.deep.equal(new Set([true]));
  });
});
