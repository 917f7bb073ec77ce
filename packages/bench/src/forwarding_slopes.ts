/**
 * Cost of calls that another host makes: bytes between the two hosts, processor
 * time of each, memory and latency. The server and the host in between have a
 * process each; this one is the host of the caller.
 */
import {SystemClock} from '@savoryspur/common';
import {PeerStreamClient, StreamRefusedError} from '@savoryspur/fleet';
import {
  FORWARD_CALL_NAME,
  ForwardPeers,
  type ServerCaller,
} from '@savoryspur/serving';
import {getPercentile} from './daemon_calls.js';
import {
  type ChildReading,
  ChildRole,
  ForwardingChild,
} from './forwarding_child.js';
import {
  CONNECT_TIMEOUT_MS,
  createCall,
  createMemberRow,
  createMembership,
  createOriginHost,
  createPeer,
  type OriginHost,
  PEER_SECRET,
} from './forwarding_hosts.js';
import {measureSpread} from './forwarding_spread.js';
import {
  ANSWER_BYTES,
  EVENT_BYTES,
  formatStreamPath,
  OPEN_STREAM_PATH,
  REQUEST_BYTES,
  WHOLE_PATH,
} from './forwarding_server.js';
import {computeLine} from './least_squares.js';
import {measureCpu} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';

/** Calls before the measurements, so that code is compiled and connections are open. */
const WARM_UP_CALLS = 2000;

/** Numbers of calls in progress in the measurements of complete answers. */
const CONCURRENCIES = [1, 16];

/** Calls in each round with complete answers. */
const WHOLE_CALLS = 1500;

/** Rounds; each makes the calls directly, then through the other host. */
const ROUNDS = 2;

/** Numbers of events in the measured streams. */
const STREAM_EVENTS = [9, 27, 54];

/** Time between two events, milliseconds: more than a host takes, so that events go one by one. */
const EVENT_INTERVAL_MS = 20;

/** Streams in progress, about as many as a daemon has at the users' size. */
const STREAM_CONCURRENCY = 40;

/** Streams in each round. */
const STREAM_CALLS = 300;

/** Numbers of open streams in the measurement of memory. */
const OPEN_STREAMS = [0, 100, 200, 400];

/** Time after which the memory of opened streams is read, milliseconds. */
const SETTLE_MS = 500;

/** Pairs of a direct and a forwarded call in the measurements of latency. */
const LATENCY_PAIRS = 1000;

/** Calls that the host in between refuses. */
const REFUSED_CALLS = 1000;

/** Numbers of daemons among which one is chosen: a zone and the fleet at the design size. */
const CHOICE_PEERS = [37, 150, 409];

/** Choices in each measurement. */
const CHOICES = 2000;

const ZONES = 11;

const MICROSECONDS_PER_SECOND = 1e6;

const clock = new SystemClock();

/** Attempts at a measurement that a refused call ends. */
const MAX_ATTEMPTS = 5;

/** Pause before a measurement is repeated, milliseconds: longer than the backoff of the host in between, and than calls in progress last. */
const REPEAT_PAUSE_MS = 6000;

let requestCount = 0;

/** Measurements that were repeated because no host made a call: a host that a busy machine pauses may suspect the server. */
let repeats = 0;

/** Thrown when a call gets no answer. */
class CallFailedError extends Error {}

/** Processes of one measurement. */
export interface Rig {
  server: ForwardingChild;
  between: ForwardingChild;
  origin: OriginHost;
}

/** Calls of one kind. */
export interface CallPlan {
  path: string;
  calls: number;
  concurrency: number;
  /** Expected size of each answer's body, bytes. */
  answerBytes: number;
}

/** Cost of one call in a round. */
export interface RoundCost {
  originMicroseconds: number;
  betweenMicroseconds: number;
  /** Bytes between the hosts, beyond the bodies of request and answer. */
  betweenBytes: number;
  /** Bytes to and from the server, beyond the bodies. */
  serverBytes: number;
}

/** Measures forwarded calls beside direct ones. */
export async function measureForwarding(): Promise<SlopeSection> {
  const rig = await startRig();
  try {
    await runWarmUp(rig);
    const rows: SlopeRow[] = [];
    for (const concurrency of CONCURRENCIES) {
      rows.push(await measureWhole(rig, concurrency));
    }
    const streams: SlopeRow[] = [];
    for (const events of STREAM_EVENTS) {
      streams.push(await measureStreams(rig, events));
    }
    rows.push(...streams, await measureLatency(rig));
    rows.push(await measureRefusals(rig));
    const memory = await measureMemory(rig);
    const choices: SlopeRow[] = [];
    for (const peers of CHOICE_PEERS) choices.push(await measureChoice(peers));
    rows.push({repeats}, ...memory, ...choices, computeHeartbeatField());
    rows.push(...measureSpread());
    return {
      name: 'forwarding',
      rows,
      lines: {
        ...computeLines(streams, 'events', [
          'detourBytesPerCall',
          'originAddedCpuMicroseconds',
          'betweenCpuMicroseconds',
        ]),
        ...computeLines(memory, 'openStreams', [
          'betweenHeapBytes',
          'betweenResidentBytes',
        ]),
        ...computeLines(choices, 'peers', ['cpuMicrosecondsPerChoice']),
      },
    };
  } finally {
    await stopRig(rig);
  }
}

/** Starts the processes, and connects this one to them. */
export async function startRig(): Promise<Rig> {
  const server = await ForwardingChild.start(ChildRole.SERVER);
  const between = await ForwardingChild.start(
    ChildRole.HOST_BETWEEN,
    server.port,
  );
  const origin = await createOriginHost(server.port, between.port);
  return {server, between, origin};
}

/** Repeats a measurement that ended with a failed call. */
async function retryMeasurement<T>(measure: () => Promise<T>): Promise<T> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await measure();
    } catch (thrown) {
      if (!(thrown instanceof CallFailedError)) throw thrown;
      if (attempt === MAX_ATTEMPTS) throw thrown;
      process.stderr.write(`repeated: ${thrown.message}\n`);
      repeats += 1;
      await clock.sleep(REPEAT_PAUSE_MS);
    }
  }
}

/** Ends the processes. */
export async function stopRig({server, between, origin}: Rig): Promise<void> {
  await origin.stop();
  await between.stop();
  await server.stop();
}

/**
 * Makes calls in closed loops, and measures their cost.
 *
 * @param isForwarded - whether the other host makes the calls
 */
export function measureRound(
  rig: Rig,
  plan: CallPlan,
  isForwarded: boolean,
): Promise<RoundCost> {
  return retryMeasurement(() => tryRound(rig, plan, isForwarded));
}

async function tryRound(
  rig: Rig,
  plan: CallPlan,
  isForwarded: boolean,
): Promise<RoundCost> {
  const {between, server, origin} = rig;
  const caller = isForwarded ? origin.forwarded : origin.direct;
  const before = [await between.read(), await server.read()] as const;
  const originSeconds = await measureCpu(() => runCalls(origin, caller, plan));
  const after = [await between.read(), await server.read()] as const;
  const bodyBytes = REQUEST_BYTES + plan.answerBytes;
  const getBytes = (index: 0 | 1): number =>
    (sumBytes(after[index]) - sumBytes(before[index])) / plan.calls;
  return {
    originMicroseconds: (originSeconds * MICROSECONDS_PER_SECOND) / plan.calls,
    betweenMicroseconds:
      (after[0].cpuMicroseconds - before[0].cpuMicroseconds) / plan.calls,
    betweenBytes: isForwarded ? getBytes(0) - bodyBytes : getBytes(0),
    serverBytes: getBytes(1) - bodyBytes,
  };
}

async function runWarmUp(rig: Rig): Promise<void> {
  const plan = {
    path: WHOLE_PATH,
    calls: WARM_UP_CALLS,
    concurrency: STREAM_CONCURRENCY,
    answerBytes: ANSWER_BYTES,
  };
  const streams = {
    path: formatStreamPath(2, 1),
    calls: WARM_UP_CALLS,
    concurrency: STREAM_CONCURRENCY,
    answerBytes: 2 * EVENT_BYTES,
  };
  for (const isForwarded of [false, true]) {
    await measureRound(rig, plan, isForwarded);
    await measureRound(rig, streams, isForwarded);
  }
}

function measureWhole(rig: Rig, concurrency: number): Promise<SlopeRow> {
  return measureDetour(rig, {
    path: WHOLE_PATH,
    calls: WHOLE_CALLS,
    concurrency,
    answerBytes: ANSWER_BYTES,
  });
}

async function measureStreams(rig: Rig, events: number): Promise<SlopeRow> {
  const figures = await measureDetour(rig, {
    path: formatStreamPath(events, EVENT_INTERVAL_MS),
    calls: STREAM_CALLS,
    concurrency: STREAM_CONCURRENCY,
    answerBytes: events * EVENT_BYTES,
  });
  return {events, ...figures};
}

/** Compares forwarded calls with direct ones. */
async function measureDetour(rig: Rig, plan: CallPlan): Promise<SlopeRow> {
  const direct: RoundCost[] = [];
  const forwarded: RoundCost[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    direct.push(await measureRound(rig, plan, false));
    forwarded.push(await measureRound(rig, plan, true));
  }
  const getMean = (costs: RoundCost[], name: keyof RoundCost): number =>
    costs.reduce((sum, cost) => sum + cost[name], 0) / costs.length;
  const directCpu = getMean(direct, 'originMicroseconds');
  const forwardedCpu = getMean(forwarded, 'originMicroseconds');
  return {
    concurrency: plan.concurrency,
    calls: plan.calls * ROUNDS,
    detourBytesPerCall: getMean(forwarded, 'betweenBytes'),
    directHeaderBytesPerCall: getMean(direct, 'serverBytes'),
    originDirectCpuMicroseconds: directCpu,
    originForwardedCpuMicroseconds: forwardedCpu,
    originAddedCpuMicroseconds: forwardedCpu - directCpu,
    betweenCpuMicroseconds: getMean(forwarded, 'betweenMicroseconds'),
  };
}

/** Compares the latencies of direct and forwarded calls, one call at a time. */
async function measureLatency({origin}: Rig): Promise<SlopeRow> {
  const figures: SlopeRow = {latencyPairs: LATENCY_PAIRS};
  const paths = {whole: WHOLE_PATH, firstEvent: formatStreamPath(2, 1)};
  for (const [name, path] of Object.entries(paths)) {
    const direct: number[] = [];
    const forwarded: number[] = [];
    for (let pair = 0; pair < LATENCY_PAIRS; pair++) {
      const [directMs, forwardedMs] = await retryMeasurement(async () => [
        (await runCall(origin, origin.direct, path)).firstByteMs,
        (await runCall(origin, origin.forwarded, path)).firstByteMs,
      ]);
      direct.push(directMs!);
      forwarded.push(forwardedMs!);
    }
    direct.sort((a, b) => a - b);
    forwarded.sort((a, b) => a - b);
    for (const percent of [50, 95]) {
      const directMs = getPercentile(direct, percent / 100);
      const forwardedMs = getPercentile(forwarded, percent / 100);
      figures[`${name}DirectP${percent}Ms`] = directMs;
      figures[`${name}ForwardedP${percent}Ms`] = forwardedMs;
      figures[`${name}AddedP${percent}Ms`] = forwardedMs - directMs;
    }
  }
  return figures;
}

/** Measures calls that the host in between refuses because it doesn't know the server. */
async function measureRefusals({between, origin}: Rig): Promise<SlopeRow> {
  const {self, peer, server} = origin;
  const streams = new PeerStreamClient({
    secret: PEER_SECRET,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    getSelf: () => self,
  });
  const {body, signal, ...call} = createCall(server, 'refused', WHOLE_PATH);
  const input = {...call, serverId: 'server-9999', isOnNewConnection: false};
  const before = await between.read();
  const originSeconds = await measureCpu(async () => {
    for (let i = 0; i < REFUSED_CALLS; i++) {
      await streams.open(peer, FORWARD_CALL_NAME, input, body, signal).then(
        () => Promise.reject(new Error('the call was not refused')),
        (thrown: unknown) => {
          if (!(thrown instanceof StreamRefusedError)) throw thrown;
        },
      );
    }
  });
  const after = await between.read();
  await streams.stop();
  return {
    refusedCalls: REFUSED_CALLS,
    refusedBytesPerCall:
      (sumBytes(after) - sumBytes(before)) / REFUSED_CALLS - REQUEST_BYTES,
    originCpuMicroseconds:
      (originSeconds * MICROSECONDS_PER_SECOND) / REFUSED_CALLS,
    betweenCpuMicroseconds:
      (after.cpuMicroseconds - before.cpuMicroseconds) / REFUSED_CALLS,
  };
}

/** Measures the memory of the host in between with several numbers of open streams. */
async function measureMemory({between, origin}: Rig): Promise<SlopeRow[]> {
  const drops: Array<() => void> = [];
  const rows: SlopeRow[] = [];
  for (const openStreams of OPEN_STREAMS) {
    while (drops.length < openStreams)
      drops.push(await retryMeasurement(() => openStream(origin)));
    await clock.sleep(SETTLE_MS);
    const {heapBytes, residentBytes, connections} = await between.read(true);
    rows.push({
      openStreams,
      connections,
      betweenHeapBytes: heapBytes!,
      betweenResidentBytes: residentBytes!,
    });
  }
  for (const drop of drops) drop();
  return rows;
}

/** Opens a stream and reads its first event; gives the function that drops it. */
async function openStream(origin: OriginHost): Promise<() => void> {
  const call = createCall(origin.server, createRequestId(), OPEN_STREAM_PATH);
  const reply = await origin.forwarded.call(call);
  if (reply.kind === 'failure') throw new CallFailedError(reply.reason);
  await reply.body[Symbol.asyncIterator]().next();
  return () => reply.drop();
}

/** Measures the choice of the host in between among all daemons. */
async function measureChoice(count: number): Promise<SlopeRow> {
  const peers = Array.from({length: count}, (unused, i) =>
    createPeer(i + 1, `zone-${i % ZONES}`, 1),
  );
  const self = createPeer(0, 'zone-0', 1);
  const members = await createMembership(self, peers);
  const forwardPeers = new ForwardPeers({
    members,
    isPeerReachable: () => true,
    clock,
    random: Math.random,
  });
  const tried = new Set<string>();
  const run = async (choices: number): Promise<void> => {
    for (let i = 0; i < choices; i++) {
      const zone = `zone-${i % ZONES}`;
      if (!forwardPeers.isAnyAvailable(zone)) throw new Error('none');
      const peer = forwardPeers.choose({id: 'server', zone}, tried)!;
      forwardPeers.beginCall(peer);
      forwardPeers.recordSuccess(peer, {id: 'server', zone});
      forwardPeers.finishCall(peer);
    }
    await Promise.resolve();
  };
  await run(CHOICES);
  const cpuSeconds = await measureCpu(() => run(CHOICES));
  const checkSeconds = await measureCpu(() => {
    for (let i = 0; i < CHOICES; i++) forwardPeers.isAnyAvailable('zone-0');
  });
  return {
    peers: count,
    cpuMicrosecondsPerChoice: (cpuSeconds * MICROSECONDS_PER_SECOND) / CHOICES,
    cpuMicrosecondsPerCheck: (checkSeconds * MICROSECONDS_PER_SECOND) / CHOICES,
  };
}

/** Computes the bytes that the field isCutOff adds to a heartbeat. */
function computeHeartbeatField(): SlopeRow {
  const row = createMemberRow(createPeer(1, 'zone-1', 7400));
  const {isCutOff, ...rest} = row;
  const bytes = Buffer.byteLength(JSON.stringify({...rest, isCutOff}));
  return {
    heartbeatBytes: bytes,
    cutOffFieldBytes: bytes - Buffer.byteLength(JSON.stringify(rest)),
  };
}

async function runCalls(
  origin: OriginHost,
  caller: ServerCaller,
  {path, calls, concurrency, answerBytes}: CallPlan,
): Promise<void> {
  let started = 0;
  const runLoop = async (): Promise<void> => {
    while (started < calls) {
      started += 1;
      const {bytes} = await runCall(origin, caller, path);
      if (bytes !== answerBytes) throw new Error(`${bytes} bytes answered`);
    }
  };
  const end = (thrown: unknown): never => {
    started = calls;
    throw thrown;
  };
  await Promise.all(
    Array.from({length: concurrency}, () => runLoop().catch(end)),
  );
}

/** Makes one call and reads the answer. */
async function runCall(
  {server}: OriginHost,
  caller: ServerCaller,
  path: string,
): Promise<{bytes: number; firstByteMs: number}> {
  const startMs = clock.now();
  const reply = await caller.call(createCall(server, createRequestId(), path));
  if (reply.kind === 'failure') throw new CallFailedError(reply.reason);
  let bytes = 0;
  let firstByteMs = 0;
  for await (const part of reply.body) {
    if (bytes === 0) firstByteMs = clock.now() - startMs;
    bytes += part.length;
  }
  return {bytes, firstByteMs};
}

function createRequestId(): string {
  requestCount += 1;
  return `attempt-${String(requestCount).padStart(10, '0')}`;
}

function sumBytes({receivedBytes, sentBytes}: ChildReading): number {
  return receivedBytes + sentBytes;
}

function computeLines(
  rows: readonly SlopeRow[],
  size: string,
  costs: readonly string[],
): SlopeSection['lines'] {
  return Object.fromEntries(
    costs.map((cost) => [
      `${cost}By${size[0]!.toUpperCase()}${size.slice(1)}`,
      computeLine(rows.map((row) => ({x: row[size]!, y: row[cost]!}))),
    ]),
  );
}
