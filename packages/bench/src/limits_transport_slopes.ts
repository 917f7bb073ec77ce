/** Cost of rate tokens between two daemons over the real transport. */
import {SystemClock} from '@savoryspur/common';
import {createPeerRouter, type PeerCaller} from '@savoryspur/fleet';
import {FleetRateLimiter, type LimitsRootRouter} from '@savoryspur/limits';
import {type PeerInfo, TrafficClass} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import {createDocument, createSource, SingleOwnerView} from './fleet_fakes.js';
import {measureCpu} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';
import {EXCHANGE_HEADER_BYTES, SmallZone} from './small_zone.js';

/** Requests that ask at once. */
const CONCURRENCIES = [1, 8, 32];

const ADMISSIONS = 3000;

const WORKSPACES = 200;

/** Period of heartbeats, long so that they cost nothing here, milliseconds. */
const PERIOD_MS = 1000;

const SETTLE_MS = 1000;

const CALL_MS = 1000;

const WAIT_MS = 500;

type LimitsCaller = PeerCaller<TRPCClient<LimitsRootRouter>>;

/** Measures admissions at a daemon that is not the owner. */
export async function measureLimitsTransport(): Promise<SlopeSection> {
  const clock = new SystemClock();
  const environment = createSource(createDocument(WORKSPACES, 1));
  const create = (self: PeerInfo, owner: PeerInfo, caller: LimitsCaller) =>
    new FleetRateLimiter({
      clock,
      environment,
      view: new SingleOwnerView(self, owner, () => clock.now()),
      caller,
      callTimeoutMs: CALL_MS,
    });
  const zone = new SmallZone(PERIOD_MS);
  await zone.start(2, (fleet) => {
    const {self} = fleet;
    const limiter = create(self, self, fleet.getCaller<LimitsRootRouter>());
    return createPeerRouter({fleet: fleet.router, limits: limiter.router});
  });
  await clock.sleep(SETTLE_MS);
  const [owner, asker] = zone.fleets;
  const rows: SlopeRow[] = [];
  for (const concurrency of CONCURRENCIES) {
    const limiter = create(
      asker!.self,
      owner!.self,
      asker!.getCaller<LimitsRootRouter>(),
    );
    rows.push(await measureAdmissions(zone, limiter, concurrency));
  }
  await zone.stop();
  return {name: 'limits over the transport', rows, lines: {}};
}

async function measureAdmissions(
  zone: SmallZone,
  limiter: FleetRateLimiter,
  concurrency: number,
): Promise<SlopeRow> {
  let started = 0;
  const runLoop = async (): Promise<void> => {
    while (started < ADMISSIONS) {
      started += 1;
      const admitted = await limiter.acquire({
        workspace: `workspace-${String(started % WORKSPACES).padStart(5, '0')}`,
        trafficClass: TrafficClass.ONLINE,
        count: 1,
        maxWaitMs: WAIT_MS,
      });
      if (admitted.isErr()) throw new Error('refused');
    }
  };
  const before = zone.sumBytes();
  const cpu = await measureCpu(async () => {
    await Promise.all(Array.from({length: concurrency}, runLoop));
  });
  const frames = (zone.sumBytes() - before) / ADMISSIONS;
  return {
    concurrency,
    admissions: ADMISSIONS,
    frameBytesPerAdmission: frames,
    bytesPerAdmission: frames + EXCHANGE_HEADER_BYTES,
    cpuMicrosecondsPerAdmissionBothEnds: (cpu / ADMISSIONS) * 1e6,
  };
}
