import {expect} from 'chai';
import {ErrorCode} from '@savoryspur/common';
import {ZoneState, KeyState} from '@savoryspur/schema';
import {computeDigest, ConfigStore} from '../src/index.js';
import {createMemoryStore, parseValid, SMALL_DOCUMENT} from './documents.js';
import {TableFault} from './memory_storage.js';

const DOCUMENT = parseValid(SMALL_DOCUMENT);
const FASTER = parseValid(SMALL_DOCUMENT.replace('rate = 20', 'rate = 30'));

function applyTo(
  store: ConfigStore,
  environment: string,
  document = DOCUMENT,
  baseVersion = 0,
) {
  return store.apply({environment, document, baseVersion, operator: 'ann'});
}

describe('ConfigStore', () => {
  it('answers one of two concurrent applies with a conflict that names both versions', async () => {
    const {store, context} = createMemoryStore();
    const other = new ConfigStore(context);
    await applyTo(store, 'trial');
    const [first, second] = await Promise.all([
      applyTo(store, 'trial', FASTER, 1),
      applyTo(
        other,
        'trial',
        parseValid(
          SMALL_DOCUMENT + '\n[[workspaces]]\nname="x"\nrate=1\nburst=1\n',
        ),
        1,
      ),
    ]);
    const refused = first.isErr() ? first : second;
    expect([first.isOk(), second.isOk()].filter(Boolean)).to.have.length(1);
    expect(refused._unsafeUnwrapErr().code).to.equal(ErrorCode.CONFLICT);
    expect(refused._unsafeUnwrapErr().message).to.contain(
      'based on version 1, but version 2 is in force',
    );
  });

  it('finds out by a read-after-write check that a commit with a lost answer took effect', async () => {
    const {store, table} = createMemoryStore();
    table.faults = [TableFault.ANSWER_LOST];
    const applied = await applyTo(store, 'trial');
    expect(applied._unsafeUnwrap().state.version).to.equal(1);
  });

  it('recognizes its own commit when another commit follows before the read-after-write check', async () => {
    const {store, table, context} = createMemoryStore();
    const other = new ConfigStore(context);
    await applyTo(store, 'trial');
    let followed: Promise<unknown> | undefined;
    table.faults = [TableFault.ANSWER_LOST];
    table.afterCommit = () => {
      table.afterCommit = undefined;
      followed = other.setZoneState('trial', 'lower-1', ZoneState.OUT, 'bob');
    };
    const applied = await applyTo(store, 'trial', FASTER, 1);
    await followed;
    expect(applied._unsafeUnwrap().state.version).to.equal(2);
    const newest = (await store.get('trial'))._unsafeUnwrap().state;
    expect(newest.version).to.equal(3);
  });

  it('promotes only the tested document', async () => {
    const {store} = createMemoryStore();
    await applyTo(store, 'trial');
    const digest = computeDigest(DOCUMENT);
    const promote = (documentDigest: string) =>
      store.promote({
        from: 'trial',
        to: 'production',
        documentDigest,
        baseVersion: 0,
        operator: 'ann',
      });
    const refused = (await promote(computeDigest(FASTER)))._unsafeUnwrapErr();
    expect(refused.code).to.equal(ErrorCode.CONFLICT);
    expect(refused.message).to.contain(`found ${digest} in trial`);
    const promoted = (await promote(digest))._unsafeUnwrap().state;
    expect(promoted.documentDigest).to.equal(digest);
    expect(promoted.document.workspaces).to.deep.equal(DOCUMENT.workspaces);
  });

  it('keeps withdrawn keys, issued keys and zone states when a document is applied', async () => {
    const {store} = createMemoryStore();
    await applyTo(store, 'production');
    const issued = (
      await store.issueKey('production', {
        workspace: 'kitchens',
        operator: 'ann',
      })
    )._unsafeUnwrap();
    await store.withdrawKey('production', 'kitchens-1', 'ann');
    await store.setZoneState('production', 'lower-2', ZoneState.OUT, 'ann');
    const applied = await applyTo(store, 'production', FASTER, 4);
    const {document} = applied._unsafeUnwrap().state;
    const states = new Map(document.keys.map((key) => [key.id, key.state]));
    expect(states.get('kitchens-1')).to.equal(KeyState.WITHDRAWN);
    expect(states.get(issued.key.id)).to.equal(KeyState.ACTIVE);
    expect(document.zones.map((zone) => zone.state)).to.deep.equal([
      ZoneState.IN,
      ZoneState.OUT,
    ]);
    expect(JSON.stringify(document)).not.to.contain(issued.secret);
  });

  it('commits both of two concurrent commands', async () => {
    const {store, context} = createMemoryStore();
    const other = new ConfigStore(context);
    await applyTo(store, 'production');
    const [withdrawn, taken] = await Promise.all([
      store.withdrawKey('production', 'kitchens-1', 'ann'),
      other.setZoneState('production', 'lower-1', ZoneState.OUT, 'bob'),
    ]);
    expect(withdrawn.isOk() && taken.isOk()).to.equal(true);
    const {document, version} = (await store.get('production'))._unsafeUnwrap()
      .state;
    expect(version).to.equal(3);
    expect(document.keys[0]?.state).to.equal(KeyState.WITHDRAWN);
    expect(document.zones[0]?.state).to.equal(ZoneState.OUT);
  });

  it('changes nothing when the snapshot of the first document cannot be stored', async () => {
    const {store, objects} = createMemoryStore();
    objects.isDown = true;
    const refused = (await applyTo(store, 'trial'))._unsafeUnwrapErr();
    expect(refused.code).to.equal(ErrorCode.UNAVAILABLE);
    expect((await store.get('trial'))._unsafeUnwrap().state.version).to.equal(
      0,
    );
  });

  it('postpones a snapshot while the object store is unavailable, and writes it afterwards', async () => {
    const {store, objects, table} = createMemoryStore();
    await applyTo(store, 'trial');
    const setZone = async (count: number) => {
      for (let n = 0; n < count; n++) {
        const state = n % 2 === 0 ? ZoneState.OUT : ZoneState.IN;
        await store.setZoneState('trial', 'lower-1', state, 'ann');
      }
    };
    const getHead = () =>
      table.getValue('env/trial') as {version: number; snapshotVersion: number};
    objects.isDown = true;
    await setZone(210);
    expect(getHead()).to.include({version: 211, snapshotVersion: 1});
    objects.isDown = false;
    const late = createMemoryStore();
    const fresh = new ConfigStore({...late.context, table, objects});
    expect((await fresh.get('trial'))._unsafeUnwrap().state.version).to.equal(
      211,
    );
    await setZone(1);
    expect(getHead()).to.include({version: 212, snapshotVersion: 212});
  });

  it('lists the history with the newest change first', async () => {
    const {store} = createMemoryStore();
    await applyTo(store, 'trial');
    await applyTo(store, 'trial', FASTER, 1);
    const history = (await store.getHistory('trial', 0, 10))._unsafeUnwrap();
    expect(history.map((change) => change.version)).to.deep.equal([2, 1]);
    expect(history[0]?.delta?.upserts[0]?.value.rate).to.equal(30);
  });

  it('archives old changes, deletes old snapshots and still lists the complete history', async () => {
    const {context, objects, table} = createMemoryStore();
    const store = new ConfigStore({...context, keptChangeRows: 100});
    await applyTo(store, 'trial');
    for (let version = 2; version <= 620; version++) {
      const state = version % 2 === 0 ? ZoneState.OUT : ZoneState.IN;
      await store.setZoneState('trial', 'lower-1', state, 'ann');
    }
    await new Promise((resolve) => setImmediate(resolve));
    const list = (kind: string) =>
      [...objects.objects.keys()].filter((n) => n.includes(`/${kind}/`));
    expect(list('archive')).to.have.length(2);
    expect(list('snapshot')).to.have.length(2);
    expect(table.getValue('env/trial/change/0000000400')).to.equal(undefined);
    expect(table.getValue('env/trial/change/0000000401')).not.to.equal(
      undefined,
    );
    const seen: number[] = [];
    let before = 0;
    while (before !== 1) {
      const page = await store.getHistory('trial', before, 90);
      const versions = page._unsafeUnwrap().map((change) => change.version);
      seen.push(...versions);
      before = versions.at(-1) ?? 1;
    }
    expect(seen).to.deep.equal(Array.from({length: 620}, (u, n) => 620 - n));
    const fresh = new ConfigStore(context);
    const {state} = (await fresh.get('trial'))._unsafeUnwrap();
    expect(state.version).to.equal(620);
  });
});
