/** Tests when a daemon starts to follow rollouts, and orders that no pool owner can carry out. */
import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {expect} from 'chai';
import {RolloutCoordinator} from '../src/rollout/rollout_coordinator.js';
import {DEFAULT_ROLLOUT_BOUNDS} from '../src/rollout/rollout_types.js';
import {FakeStore, SERVICE} from './support/rollout_fleet.js';

describe('RolloutCoordinator', () => {
  let clock: ManualClock;
  let store: FakeStore;
  let coordinator: RolloutCoordinator;
  let stop: AbortController;
  let services: string[] | undefined;

  beforeEach(() => {
    clock = new ManualClock();
    store = new FakeStore(clock);
    stop = new AbortController();
    services = [SERVICE];
    coordinator = new RolloutCoordinator({
      writer: 'daemon',
      store: store.createView(() => true),
      clock,
      log: new MemoryEventLog(),
      bounds: DEFAULT_ROLLOUT_BOUNDS,
      encodeStatus: (status) => ({
        table: 'status',
        part: '',
        key: status.service,
        value: Buffer.from(JSON.stringify(status)),
      }),
      services: {
        listServices: () => services,
        listVersions: () => ['v1'],
        listServerVersions: () => ['v1'],
        isOwner: () => true,
      },
    });
    coordinator.start(stop.signal);
  });
  afterEach(() => stop.abort());

  async function run(): Promise<void> {
    for (let step = 0; step < 20; step += 1) {
      clock.advance(100);
      await new Promise(setImmediate);
    }
  }

  function putOrder(service: string): void {
    const order = {service, target: 'v2', durationMs: 60_000, orderVersion: 5};
    coordinator.setOrders({version: 5, orders: [order]});
  }

  function findReason(service: string): string {
    const row = store.find('status', service);
    if (!row?.value) return '';
    return (JSON.parse(row.value.toString()) as {reason?: string}).reason ?? '';
  }

  it('makes no store call before the first order', async () => {
    await run();
    expect(store.calls).to.equal(0);
    expect(coordinator.describe()).to.deep.equal([]);
    expect(coordinator.isStandaloneAllowed(SERVICE, 'v2')).to.equal(true);
  });

  it('takes up an order, which excludes the target for standalone daemons at once', async () => {
    putOrder(SERVICE);
    expect(coordinator.isStandaloneAllowed(SERVICE, 'v2')).to.equal(false);
    await run();
    expect(coordinator.describe()[0]).to.include({
      service: SERVICE,
      isDecider: true,
      phase: 'watching',
    });
  });

  it('rejects an order for an unknown service once the environment was read', async () => {
    services = undefined;
    putOrder('other');
    await run();
    expect(findReason('other')).to.equal('');
    services = [SERVICE];
    await run();
    expect(findReason('other')).to.equal(
      'service: found "other", expected a service of the environment',
    );
    expect(coordinator.isStandaloneAllowed('other', 'v2')).to.equal(true);
  });
});
