import {EnvironmentIndex, ManualClock} from '@savoryspur/common';
import type {MembershipView, ShareHistorySource} from '@savoryspur/fleet';
import {type PeerInfo, TrafficClass, ZoneState} from '@savoryspur/schema';
import {expect} from 'chai';
import {createRateLimiter, type FleetRateLimiter} from '../src/index.js';

const SELF: PeerInfo = {
  host: 'host-1',
  zone: 'zone-a',
  region: 'region-1',
  address: '127.0.0.1',
  peerPort: 1,
  incarnation: '1',
};

/** A single daemon to which all quota slots have always been delegated. */
class SingleOwnerShare implements ShareHistorySource {
  readonly self = SELF;
  constructor(private readonly clock: ManualClock) {}

  listAlive = () => [SELF];
  listZones = () => [SELF.zone];
  listOwners = () => [SELF];
  computeOwner = () => SELF;
  getDelegatedShare: MembershipView['getDelegatedShare'] = () => ({
    slots: 4,
    zoneSlots: 4,
    fleetSlots: 4,
    delegators: new Map([['host-1:1', 4]]),
  });

  listDelegators(): ReadonlyMap<string, number> {
    return new Map([['host-1:1', 4]]);
  }

  getShareHistory(key: string, sinceMs: number | undefined) {
    const nowMs = this.clock.now();
    const fromMs = sinceMs ?? Number.NEGATIVE_INFINITY;
    return {
      completeSinceMs: 0,
      segments: [{fromMs, toMs: nowMs, slots: 4}],
      leasedUntilMs: nowMs + 3000,
    };
  }
}

describe('FleetRateLimiter', () => {
  let clock: ManualClock;
  let limiter: FleetRateLimiter;

  beforeEach(() => {
    clock = new ManualClock();
    const environment = new EnvironmentIndex(1, 'digest', {
      name: 'test',
      zones: [
        {name: 'zone-a', region: 'region-1', state: ZoneState.IN, slots: 4},
      ],
      pools: [],
      servers: [],
      models: [],
      workspaces: [
        {
          name: 'w',
          rate: 10,
          burst: 20,
          weight: 1,
          batchShare: 0.5,
          objective: 0.99,
        },
      ],
      keys: [],
      routes: [],
    });
    limiter = createRateLimiter({
      clock,
      environment: {
        getCurrent: () => environment,
        subscribe: () => () => undefined,
      },
      view: new SingleOwnerShare(clock),
      caller: {
        request: () => {
          throw new Error('no other daemon');
        },
      },
      callTimeoutMs: 100,
    });
  });

  async function admit(
    trafficClass: TrafficClass,
    requestCount: number,
    maxWaitMs = 0,
  ): Promise<number> {
    let admitted = 0;
    for (let i = 0; i < requestCount; i++) {
      const result = await limiter.acquire({
        workspace: 'w',
        trafficClass,
        count: 1,
        maxWaitMs,
      });
      if (result.isOk()) admitted += 1;
    }
    return admitted;
  }

  it('admits the burst, then the rate', async () => {
    expect(await admit(TrafficClass.ONLINE, 30)).to.equal(20);
    clock.advance(500);
    expect(await admit(TrafficClass.ONLINE, 30)).to.equal(5);
  });

  it('leaves online work its share when batch work asks first', async () => {
    expect(await admit(TrafficClass.BATCH, 30)).to.equal(10);
    expect(await admit(TrafficClass.ONLINE, 30)).to.equal(10);
  });

  it('returns the delay after which a retry succeeds', async () => {
    await admit(TrafficClass.ONLINE, 20);
    const refused = await limiter.acquire({
      workspace: 'w',
      trafficClass: TrafficClass.ONLINE,
      count: 1,
      maxWaitMs: 0,
    });
    expect(refused._unsafeUnwrapErr().retryAfterMs).to.equal(100);
  });

  it('waits for a token up to the requested bound', async () => {
    await admit(TrafficClass.ONLINE, 20);
    const waiting = admit(TrafficClass.ONLINE, 1, 250);
    for (let i = 0; i < 25; i++) {
      await new Promise(setImmediate);
      clock.advance(10);
    }
    expect(await waiting).to.equal(1);
  });
});
