import {expect} from 'chai';
import {EntityKind, ZoneState} from '@savoryspur/schema';
import type {ConfigStore} from '../src/index.js';
import {createMemoryStore, parseValid, SMALL_DOCUMENT} from './documents.js';
import {MemoryFleet} from './memory_fleet.js';
import {MemoryTable} from './memory_storage.js';

const ENVIRONMENT = 'production';

/** Starts a fleet of three zones in which all hosts have version 1. */
async function startFleet(hostsPerZone = 9, maxStalenessMs = 0) {
  const storage = createMemoryStore();
  const fleet = new MemoryFleet(storage.table, storage.objects);
  fleet.maxStalenessMs = maxStalenessMs;
  await storage.store.apply({
    environment: ENVIRONMENT,
    document: parseValid(SMALL_DOCUMENT),
    baseVersion: 0,
    operator: 'ann',
  });
  for (const zone of ['z1', 'z2', 'z3']) {
    for (let n = 0; n < hostsPerZone; n++) fleet.add(`${zone}-h${n}`, zone);
  }
  await pollAll(fleet);
  return {...storage, fleet};
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

/** Commits a change through one daemon, as its operator API does. */
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
  it('distributes a change to all hosts of all zones without polls', async () => {
    const {store, fleet} = await startFleet();
    await commitThrough(store, fleet, 'z2-h3');
    expect(new Set(fleet.listVersions())).to.deep.equal(new Set([2]));
  });

  it('updates a host at its next poll when the push to it was lost', async () => {
    const {store, fleet} = await startFleet();
    fleet.isConnected = (from, to) =>
      from.host !== to.host && to.host !== 'z1-h4';
    await commitThrough(store, fleet, 'z1-h0');
    const isolated = fleet.daemons.get('z1-h4');
    expect(isolated?.follower.getState().version).to.equal(1);
    await isolated?.distributor.pollOnce();
    expect(isolated?.follower.getState().version).to.equal(2);
  });

  it('fetches the changes that a push does not contain from its sender', async () => {
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

  it('ignores a late push and a change that does not match its digest', async () => {
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

  it('ignores the incomplete snapshot of a peer', async () => {
    const {fleet, table} = await startFleet(2);
    const faultyPeer = fleet.daemons.get('z2-h0')!;
    const handleFetch = faultyPeer.distributor.handleFetch.bind(
      faultyPeer.distributor,
    );
    faultyPeer.distributor.handleFetch = (fetch) => {
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

  it('starts with the newest version of its peers while storage is unavailable', async () => {
    const {store, fleet, table} = await startFleet(3);
    fleet.isConnected = (from, to) => from.zone === to.zone;
    await commitThrough(store, fleet, 'z2-h0');
    table.isDown = true;
    fleet.isConnected = () => true;
    const started = fleet.add('z1-h9', 'z1');
    await started.distributor.pollOnce();
    expect(started.follower.getState().version).to.equal(2);
  });

  it('updates the hosts of a zone without access to storage by fetches from other zones', async () => {
    const {store, fleet, objects} = await startFleet(3);
    const unavailableTable = new MemoryTable();
    unavailableTable.isDown = true;
    for (let n = 0; n < 3; n++) fleet.add(`z3-h${n}`, 'z3', unavailableTable);
    fleet.isConnected = (from, to, step) =>
      step === 'config.fetch' || from.zone === to.zone;
    await pollAll(fleet);
    objects.isDown = true;
    await commitThrough(store, fleet, 'z1-h1');
    expect(fleet.daemons.get('z3-h0')?.follower.getState().version).to.equal(1);
    await pollAll(fleet);
    expect(new Set(fleet.listVersions())).to.deep.equal(new Set([2]));
  });

  it('never reverts a version during a partition, and converges after it', async () => {
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

  it('puts no version in force in an isolated zone above the maximum staleness', async () => {
    const {fleet, objects} = await startFleet(3, 5000);
    // The first round updates the zone pollers, the second one the other hosts.
    const pollTwice = async () => {
      await pollAll(fleet);
      await pollAll(fleet);
    };
    const unavailableTable = new MemoryTable();
    unavailableTable.isDown = true;
    const isolatedDaemons = [0, 1, 2].map((n) =>
      fleet.add(`z3-h${n}`, 'z3', unavailableTable),
    );
    await pollTwice();
    objects.isDown = true;
    fleet.isConnected = (from, to) => from.zone === to.zone;
    fleet.clock.advance(4000);
    await pollTwice();
    const collectIsInForce = () =>
      new Set(
        isolatedDaemons.map((d) => d.follower.getCurrent() !== undefined),
      );
    expect(collectIsInForce()).to.deep.equal(new Set([true]));
    fleet.clock.advance(1001);
    await pollTwice();
    expect(collectIsInForce()).to.deep.equal(new Set([false]));
    expect(fleet.daemons.get('z1-h0')?.follower.getCurrent()?.version).to.equal(
      1,
    );
    fleet.isConnected = () => true;
    await pollTwice();
    expect(collectIsInForce()).to.deep.equal(new Set([true]));
  });
});
