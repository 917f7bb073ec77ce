/** Memory, CPU time and messages of the rate limits. */
import {SystemClock} from '@savoryspur/common';
import type {PeerCaller} from '@savoryspur/fleet';
import {FleetRateLimiter, type LimitsRootRouter} from '@savoryspur/limits';
import {type PeerInfo, TrafficClass} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {
  createDocument,
  createPeer,
  createSource,
  SingleOwnerView,
} from './fleet_fakes.js';
import {computeLine} from './least_squares.js';
import {measureCpu, measureHeap} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';

/** Numbers of workspaces for which the owner of their buckets is measured. */
const WORKSPACE_COUNTS = [500, 1000, 2000, 5800];

/**
 * Admissions per second of one workspace at a daemon that does not own the
 * workspace's bucket.
 */
const REMOTE_ADMISSION_RATES = [2, 10, 50, 200];

/** Duration of the measurement of messages, milliseconds. */
const REMOTE_MEASUREMENT_MS = 4000;

/** Admissions over which the CPU time of one is averaged. */
const ADMISSIONS = 30_000;

/** Timeout of a call to the owner, milliseconds. */
const CALL_TIMEOUT_MS = 1000;

/** Longest wait of a request for a rate token, milliseconds. */
const MAX_WAIT_MS = 250;

type LimitsCaller = PeerCaller<TRPCClient<LimitsRootRouter>>;

const clock = new SystemClock();

/**
 * Measures a bucket owner for several numbers of workspaces, and a daemon that
 * requests tokens from an owner for several admission rates.
 */
export async function measureLimits(): Promise<SlopeSection> {
  const owners: SlopeRow[] = [];
  for (const workspaces of WORKSPACE_COUNTS) {
    owners.push(await measureOwner(workspaces));
  }
  const completeRows = owners.filter(
    (row) => row.ownedBuckets === row.workspaces,
  );
  const points = completeRows.map((row) => ({
    x: row.ownedBuckets!,
    y: row.heapBytes!,
  }));
  const requesters = await Promise.all(
    REMOTE_ADMISSION_RATES.map(measureRequester),
  );
  return {
    name: 'limits',
    rows: [...owners, ...requesters],
    lines: {heapBytesPerBucket: computeLine(points)},
  };
}

async function measureOwner(workspaces: number): Promise<SlopeRow> {
  const self = createPeer('host-1');
  const document = createDocument(workspaces, 1);
  const names = document.workspaces.map((workspace) => workspace.name);
  const environment = createSource(document);
  const {bytes, value} = await measureHeap(async () => {
    const limiter = createLimiter(self, self, environment);
    for (const name of names) await acquire(limiter, name);
    return limiter;
  });
  const cpuSeconds = await measureCpu(async () => {
    for (let i = 0; i < ADMISSIONS; i++) {
      await acquire(value, names[i % workspaces]!);
    }
  });
  return {
    workspaces,
    ownedBuckets: value.getStatus().ownedWorkspaces,
    heapBytes: bytes,
    cpuMicrosecondsPerAdmission: (cpuSeconds / ADMISSIONS) * 1e6,
  };
}

async function measureRequester(ratePerSecond: number): Promise<SlopeRow> {
  const [owner, requester] = [createPeer('host-1'), createPeer('host-2')];
  const environment = createSource(createDocument(1, 1));
  const name = 'workspace-00000';
  const ownerLimiter = createLimiter(owner, owner, environment);
  let messages = 0;
  const caller = createCaller(ownerLimiter, requester, () => (messages += 1));
  const requesterLimiter = createLimiter(requester, owner, environment, caller);
  const startMs = clock.now();
  let admissions = 0;
  while (clock.now() - startMs < REMOTE_MEASUREMENT_MS) {
    await acquire(requesterLimiter, name);
    admissions += 1;
    const nextMs = startMs + (admissions * 1000) / ratePerSecond;
    await clock.sleep(Math.max(0, nextMs - clock.now()));
  }
  return {
    admissionsPerSecond: ratePerSecond,
    admissions,
    messages,
    messagesPerAdmission: messages / admissions,
  };
}

async function acquire(
  limiter: FleetRateLimiter,
  workspace: string,
): Promise<void> {
  const result = await limiter.acquire({
    workspace,
    trafficClass: TrafficClass.ONLINE,
    count: 1,
    maxWaitMs: MAX_WAIT_MS,
  });
  if (result.isErr()) throw new Error(`admission refused: ${workspace}`);
}

function createLimiter(
  self: PeerInfo,
  owner: PeerInfo,
  environment: ReturnType<typeof createSource>,
  caller: LimitsCaller = createFailingCaller(),
): FleetRateLimiter {
  const view = new SingleOwnerView(self, owner, () => clock.now());
  return new FleetRateLimiter({
    clock,
    environment,
    view,
    caller,
    callTimeoutMs: CALL_TIMEOUT_MS,
  });
}

/** Creates a peer caller whose calls reach a limiter in the same process. */
function createCaller(
  limiter: FleetRateLimiter,
  requester: PeerInfo,
  count: () => void,
): LimitsCaller {
  const router = limiter.router.createCaller({caller: requester});
  const client = {
    limits: {
      acquire: {
        mutate: (request: Parameters<typeof router.acquire>[0]) => {
          count();
          return router.acquire(request);
        },
      },
    },
  } as unknown as TRPCClient<LimitsRootRouter>;
  return {
    request: (peer, step, run) =>
      ResultAsync.fromSafePromise(run(client, new AbortController().signal)),
  };
}

/** Creates a peer caller that fails, for the owner, which needs no calls. */
function createFailingCaller(): LimitsCaller {
  return {
    request: () => {
      throw new Error('an owner must not call a peer');
    },
  };
}
