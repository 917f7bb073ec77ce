/** Bytes and CPU time of rate tokens that one daemon gets from another over the real transport. */
import {SystemClock} from '@savoryspur/common';
import {createPeerRouter, type PeerCaller} from '@savoryspur/fleet';
import {FleetRateLimiter, type LimitsRootRouter} from '@savoryspur/limits';
import {type PeerInfo, TrafficClass} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import {createDocument, createSource, SingleOwnerView} from './fleet_fakes.js';
import {measureCpu} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';
import {EXCHANGE_HEADER_BYTES, SmallZone} from './small_zone.js';

/** Numbers of requests that ask for admission at the same time. */
const CONCURRENCIES = [1, 8, 32];

/** Admissions in each measurement. */
const ADMISSIONS = 3000;

/** Number of workspaces over which the admissions are spread. */
const WORKSPACE_COUNT = 200;

/** Heartbeat period, long enough that heartbeats add little to the figures, milliseconds. */
const HEARTBEAT_PERIOD_MS = 1000;

/** Time in which connections are made and membership views converge, milliseconds. */
const STABILIZATION_MS = 1000;

/** Timeout of a call to the owner, milliseconds. */
const CALL_TIMEOUT_MS = 1000;

/** Longest wait of a request for a rate token, milliseconds. */
const MAX_WAIT_MS = 500;

type LimitsCaller = PeerCaller<TRPCClient<LimitsRootRouter>>;

/** Measures admissions at a daemon that does not own the buckets. */
export async function measureLimitsTransport(): Promise<SlopeSection> {
  const clock = new SystemClock();
  const environment = createSource(createDocument(WORKSPACE_COUNT, 1));
  const createLimiter = (
    self: PeerInfo,
    owner: PeerInfo,
    caller: LimitsCaller,
  ) =>
    new FleetRateLimiter({
      clock,
      environment,
      view: new SingleOwnerView(self, owner, () => clock.now()),
      caller,
      callTimeoutMs: CALL_TIMEOUT_MS,
    });
  const zone = new SmallZone(HEARTBEAT_PERIOD_MS);
  await zone.start(2, (fleet) => {
    const {self} = fleet;
    const limiter = createLimiter(
      self,
      self,
      fleet.getCaller<LimitsRootRouter>(),
    );
    return createPeerRouter({fleet: fleet.router, limits: limiter.router});
  });
  await clock.sleep(STABILIZATION_MS);
  const [owner, requester] = zone.fleets;
  const rows: SlopeRow[] = [];
  for (const concurrency of CONCURRENCIES) {
    const limiter = createLimiter(
      requester!.self,
      owner!.self,
      requester!.getCaller<LimitsRootRouter>(),
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
        workspace: `workspace-${String(started % WORKSPACE_COUNT).padStart(5, '0')}`,
        trafficClass: TrafficClass.ONLINE,
        count: 1,
        maxWaitMs: MAX_WAIT_MS,
      });
      if (admitted.isErr()) throw new Error('admission refused');
    }
  };
  const before = zone.sumBytes();
  const cpuSeconds = await measureCpu(async () => {
    await Promise.all(Array.from({length: concurrency}, runLoop));
  });
  const frameBytes = (zone.sumBytes() - before) / ADMISSIONS;
  return {
    concurrency,
    admissions: ADMISSIONS,
    frameBytesPerAdmission: frameBytes,
    bytesPerAdmission: frameBytes + EXCHANGE_HEADER_BYTES,
    cpuMicrosecondsPerAdmissionBothEnds: (cpuSeconds / ADMISSIONS) * 1e6,
  };
}
