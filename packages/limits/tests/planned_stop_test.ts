import {expect} from 'chai';
import {formatRateKey} from '../src/index.js';
import {SimulatedFleet} from './simulated_fleet.js';
import {SimulatedTime} from './simulated_time.js';

const STEP_MS = 10;

/** Time between two requests to each host of the zone, milliseconds. */
const REQUEST_INTERVAL_MS = 100;

const WORKSPACE = {
  name: 'w',
  rate: 200,
  burst: 200,
  weight: 1,
  batchShare: 0.5,
  objective: 0.99,
};

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

describe('a planned stop of the owner', () => {
  let time: SimulatedTime;
  let fleet: SimulatedFleet;

  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      if (time.nowMs % REQUEST_INTERVAL_MS === 0) {
        fleet.sendRequest('zone-a-0', 250);
        fleet.sendRequest('zone-a-1', 250);
      }
      await time.advance(STEP_MS);
    }
  };

  beforeEach(async () => {
    time = new SimulatedTime();
    const slots = Object.fromEntries(ZONES.map((zone) => [zone, 4]));
    fleet = new SimulatedFleet(time, slots, WORKSPACE);
    const hosts = ZONES.flatMap((zone) => [`${zone}-0`, `${zone}-1`]);
    for (const host of hosts) fleet.list(host, host.slice(0, -2));
    for (const host of hosts) await fleet.start(host, host.slice(0, -2));
    await run(2000);
    fleet.refused = 0;
  });

  it('and its restart refuse no request within the rate', async () => {
    const someHost = fleet.hosts.get('zone-a-0')!;
    const key = formatRateKey(WORKSPACE.name);
    const owner = someHost.core.computeOwner(key, 'zone-a')!.host;
    let hasLeft = false;
    const leaving = fleet.hosts.get(owner)!.core.leave();
    void leaving.then(() => (hasLeft = true));
    await run(3000);
    expect(hasLeft).to.equal(true);
    fleet.stop(owner);
    expect(fleet.refused, 'while it stopped').to.equal(0);
    await fleet.start(owner, 'zone-a');
    await run(4000);
    expect(fleet.refused, 'after its restart').to.equal(0);
  });
});
