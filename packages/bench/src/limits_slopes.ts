/** Memory, processor time and messages of rate limits. */
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

const WORKSPACE_SIZES = [500, 1000, 2000, 5800];

/** Admissions a second of one workspace at a host that is not its owner. */
const REMOTE_RATES = [2, 10, 50, 200];

/** Length of the measurement of messages, milliseconds. */
const REMOTE_MS = 4000;

const ACQUIRES = 30_000;

const CALL_MS = 1000;

const WAIT_MS = 250;

type LimitsCaller = PeerCaller<TRPCClient<LimitsRootRouter>>;

const clock = new SystemClock();

/** Measures an owner by workspaces and an asker by its rate. */
export async function measureLimits(): Promise<SlopeSection> {
  const owners: SlopeRow[] = [];
  for (const workspaces of WORKSPACE_SIZES) {
    owners.push(await measureOwner(workspaces));
  }
  const kept = owners.filter((row) => row.ownedBuckets === row.workspaces);
  const points = kept.map((row) => ({
    x: row.ownedBuckets!,
    y: row.heapBytes!,
  }));
  const askers = await Promise.all(REMOTE_RATES.map(measureAsker));
  return {
    name: 'limits',
    rows: [...owners, ...askers],
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
  const cpu = await measureCpu(async () => {
    for (let i = 0; i < ACQUIRES; i++) {
      await acquire(value, names[i % workspaces]!);
    }
  });
  return {
    workspaces,
    ownedBuckets: value.getStatus().ownedWorkspaces,
    heapBytes: bytes,
    cpuMicrosecondsPerAdmission: (cpu / ACQUIRES) * 1e6,
  };
}

async function measureAsker(ratePerSecond: number): Promise<SlopeRow> {
  const [owner, asker] = [createPeer('host-1'), createPeer('host-2')];
  const environment = createSource(createDocument(1, 1));
  const name = 'workspace-00000';
  const owning = createLimiter(owner, owner, environment);
  let messages = 0;
  const caller = createCaller(owning, asker, () => (messages += 1));
  const asking = createLimiter(asker, owner, environment, caller);
  const startMs = clock.now();
  let admissions = 0;
  while (clock.now() - startMs < REMOTE_MS) {
    await acquire(asking, name);
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
    maxWaitMs: WAIT_MS,
  });
  if (result.isErr()) throw new Error(`refused: ${workspace}`);
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
    callTimeoutMs: CALL_MS,
  });
}

/** Makes calls that reach a limiter in the same process. */
function createCaller(
  limiter: FleetRateLimiter,
  asker: PeerInfo,
  count: () => void,
): LimitsCaller {
  const router = limiter.router.createCaller({caller: asker});
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

function createFailingCaller(): LimitsCaller {
  return {
    request: () => {
      throw new Error('no call is expected at an owner');
    },
  };
}
