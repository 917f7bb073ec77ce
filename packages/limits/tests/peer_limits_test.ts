import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {createFleet, createPeerRouter, type Fleet} from '@savoryspur/fleet';
import {
  createEnvironment,
  createSettings,
  ReplaceableEnvironment,
  MemoryHostList,
  MemoryTable,
} from '@savoryspur/fleet/testing';
import {TrafficClass} from '@savoryspur/schema';
import {expect} from 'chai';
import {createRateLimiter, type FleetRateLimiter} from '../src/index.js';

const BURST = 30;
const clock = new SystemClock();

describe('rate limits over connections', () => {
  const fleets: Fleet[] = [];
  const limiters: FleetRateLimiter[] = [];

  async function start(host: string, zone: string): Promise<void> {
    const environment = new ReplaceableEnvironment(
      createEnvironment({'zone-a': 2, 'zone-b': 1}, [
        {
          name: 'w',
          rate: 0.001,
          burst: BURST,
          weight: 1,
          batchShare: 0.5,
          objective: 0.99,
        },
      ]),
    );
    const fleet = createFleet({
      settings: createSettings(host, zone, {
        heartbeatMs: 200,
        delegationMs: 1500,
      }),
      incarnation: `${host}-1`,
      clock,
      log: new MemoryEventLog(),
      hostList,
      table,
      environment,
    });
    const limiter = createRateLimiter({
      clock,
      environment,
      view: fleet,
      caller: fleet.getCaller(),
      callTimeoutMs: 300,
    });
    fleets.push(fleet);
    limiters.push(limiter);
    const {peerPort} = fleet.self;
    await fleet.start(
      createPeerRouter({fleet: fleet.router, limits: limiter.router}),
    );
    expect(fleet.self.peerPort).to.not.equal(peerPort);
    hostList.add(fleet.self);
  }

  const table = new MemoryTable();
  const hostList = new MemoryHostList();

  after(async () => {
    await Promise.all(fleets.map((fleet) => fleet.stop()));
  });

  it('admit the burst over three daemons in two zones, and no more', async () => {
    await start('host-1', 'zone-a');
    await start('host-2', 'zone-a');
    await start('host-3', 'zone-b');
    const countSlots = (): number =>
      fleets.reduce((n, f) => n + f.getDelegatedShare('rate/w').slots, 0);
    while (countSlots() < 3) await clock.sleep(20);
    let admitted = 0;
    for (let i = 0; i < 10 * BURST; i++) {
      const result = await limiters[i % 3]!.acquire({
        workspace: 'w',
        trafficClass: TrafficClass.ONLINE,
        count: 1,
        maxWaitMs: 20,
      });
      if (result.isOk()) admitted += 1;
    }
    expect(admitted).to.be.at.most(BURST);
    expect(admitted).to.be.at.least(1);
    for (const limiter of limiters.slice(0, 2)) {
      expect(limiter.getStatus().admitted).to.be.at.least(1);
    }
  });
});
