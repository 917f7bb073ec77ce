import {expect} from 'chai';
import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {ZoneState} from '@savoryspur/schema';
import {ConfigFollower, EnvironmentLoader} from '../src/index.js';
import {createMemoryStore, parseValid, SMALL_DOCUMENT} from './documents.js';

const DOCUMENT = parseValid(SMALL_DOCUMENT);

describe('ConfigFollower', () => {
  it('advances by deltas and never returns to an older version', async () => {
    const {store, table, objects} = createMemoryStore();
    const follower = new ConfigFollower({
      environment: 'production',
      loader: new EnvironmentLoader(table, objects),
      clock: new SystemClock(),
      log: new MemoryEventLog(),
      pollMs: 10,
    });
    await store.apply({
      environment: 'production',
      document: DOCUMENT,
      baseVersion: 0,
      operator: 'ann',
    });
    expect(await follower.poll()).to.equal(true);
    const first = follower.getState();
    objects.isDown = true;
    await store.setZoneState('production', 'lower-1', ZoneState.OUT, 'ann');
    await follower.poll();
    expect(follower.getCurrent()?.version).to.equal(2);
    expect(follower.getCurrent()?.isZoneIn('lower-1')).to.equal(false);
    expect(follower.update(first)).to.equal(false);
    expect(follower.getCurrent()?.version).to.equal(2);
  });
});
