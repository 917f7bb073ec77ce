/** Latency, CPU time, memory and control traffic of daemon processes. */
import {SystemClock} from '@savoryspur/common';
import {Site} from '@savoryspur/proofs';
import {getPercentile, sendCalls} from './daemon_calls.js';
import {computeLine} from './least_squares.js';
import {readProcess} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';

/** Numbers of daemons in the zone for the measurements without traffic. */
const IDLE_FLEET_SIZES = [2, 4, 8];

/** Time in which leases and polling reach a steady state, milliseconds. */
const STABILIZATION_MS = 8000;

/** Duration of a measurement without traffic, milliseconds. */
const IDLE_MEASUREMENT_MS = 8000;

/** Calls in each round of a latency measurement, one at a time. */
const LATENCY_CALLS = 200;

/** Rounds of a latency measurement: each sends direct calls, then routed ones. */
const LATENCY_ROUNDS = 3;

/** Calls in the measurement of CPU time with non-streamed answers. */
const NON_STREAMED_CALLS = 2000;

/** Concurrent calls in the measurements of CPU time. */
const LOAD_CONCURRENCY = 32;

/** Numbers of tokens in an answer for the measurements of streamed answers. */
const STREAM_TOKENS = [4, 32, 128];

/** Calls in each measurement of CPU time with streamed answers. */
const STREAM_CALLS = 400;

/** Rate limit and burst of the workspaces, so high that no call is limited. */
const UNLIMITED_RATE = 1_000_000;

const clock = new SystemClock();

/** Measures one daemon under load, then idle fleets of several sizes. */
export async function measureDaemon(): Promise<SlopeSection> {
  const site = await startSite(1);
  const rows: SlopeRow[] = [];
  try {
    const [url] = site.fleet.listCallerUrls();
    const warmUp = {url: url!, calls: 600, concurrency: 8, maxTokens: 2};
    await sendCalls({...warmUp, isStreamed: false});
    rows.push(await measureLatency(site));
    rows.push(await measureNonStreamed(site));
    for (const tokens of STREAM_TOKENS) {
      rows.push(await measureStreams(site, tokens));
    }
  } finally {
    await site.stop();
  }
  const streams = rows.filter((row) => row.streamTokens !== undefined);
  const idle: SlopeRow[] = [];
  for (const daemons of IDLE_FLEET_SIZES) idle.push(await measureIdle(daemons));
  const line = (name: string) =>
    computeLine(idle.map((row) => ({x: row.daemons! - 1, y: row[name]!})));
  return {
    name: 'daemon',
    rows: [...rows, ...idle],
    lines: {
      cpuMicrosecondsPerStreamByToken: computeLine(
        streams.map((row) => ({
          x: row.streamTokens!,
          y: row.cpuMicrosecondsPerRequest!,
        })),
      ),
      idleCpuShareByPeer: line('cpuShare'),
      idleBytesPerSecondByPeer: line('ioBytesPerSecond'),
    },
  };
}

/** Compares the latency of calls through the daemon with that of direct calls to an engine. */
async function measureLatency(site: Site): Promise<SlopeRow> {
  const plan = {
    calls: LATENCY_CALLS,
    concurrency: 1,
    maxTokens: 2,
    isStreamed: false,
  };
  const engineUrl = site.standIns.engines[0]!.url;
  const daemonUrl = site.fleet.listCallerUrls()[0]!;
  const direct: number[] = [];
  const routed: number[] = [];
  for (let round = 0; round < LATENCY_ROUNDS; round++) {
    direct.push(...(await sendCalls({...plan, url: engineUrl})));
    routed.push(...(await sendCalls({...plan, url: daemonUrl})));
  }
  direct.sort((a, b) => a - b);
  routed.sort((a, b) => a - b);
  const [directP50, directP99] = [0.5, 0.99].map((p) =>
    getPercentile(direct, p),
  ) as [number, number];
  const [routedP50, routedP99] = [0.5, 0.99].map((p) =>
    getPercentile(routed, p),
  ) as [number, number];
  return {
    directP50Ms: directP50,
    routedP50Ms: routedP50,
    addedP50Ms: routedP50 - directP50,
    ratioP50: routedP50 / directP50,
    directP99Ms: directP99,
    routedP99Ms: routedP99,
    addedP99Ms: routedP99 - directP99,
    ratioP99: routedP99 / directP99,
  };
}

async function measureNonStreamed(site: Site): Promise<SlopeRow> {
  const figures = await measureLoad(site, NON_STREAMED_CALLS, 2, false);
  return {wholeTokens: 2, ...figures};
}

async function measureStreams(site: Site, tokens: number): Promise<SlopeRow> {
  const figures = await measureLoad(site, STREAM_CALLS, tokens, true);
  return {streamTokens: tokens, ...figures};
}

async function measureLoad(
  site: Site,
  calls: number,
  maxTokens: number,
  isStreamed: boolean,
): Promise<SlopeRow> {
  const daemon = site.fleet.daemons[0]!;
  const before = readProcess(daemon.process.pid);
  const startMs = clock.now();
  await sendCalls({
    url: daemon.callerUrl,
    calls,
    concurrency: LOAD_CONCURRENCY,
    maxTokens,
    isStreamed,
  });
  const seconds = (clock.now() - startMs) / 1000;
  const after = readProcess(daemon.process.pid);
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  return {
    calls,
    requestsPerSecond: calls / seconds,
    coreShare: cpuSeconds / seconds,
    cpuMicrosecondsPerRequest: (cpuSeconds / calls) * 1e6,
    requestsPerCoreSecond: calls / cpuSeconds,
    residentBytes: after.residentBytes,
  };
}

async function measureIdle(daemons: number): Promise<SlopeRow> {
  const site = await startSite(daemons);
  try {
    await clock.sleep(STABILIZATION_MS);
    const pids = site.fleet.daemons.map((daemon) => daemon.process.pid);
    const before = pids.map(readProcess);
    const startMs = clock.now();
    await clock.sleep(IDLE_MEASUREMENT_MS);
    const after = pids.map(readProcess);
    const seconds = (clock.now() - startMs) / 1000;
    let [cpu, bytes, resident] = [0, 0, 0];
    for (const [index, reading] of after.entries()) {
      cpu += reading.cpuSeconds - before[index]!.cpuSeconds;
      bytes += reading.ioBytes - before[index]!.ioBytes;
      resident += reading.residentBytes;
    }
    return {
      daemons,
      cpuShare: cpu / seconds / daemons,
      ioBytesPerSecond: bytes / seconds / daemons,
      residentBytes: resident / daemons,
    };
  } finally {
    await site.stop();
  }
}

function startSite(hosts: number): Promise<Site> {
  return Site.start({
    zones: ['zone-1'],
    hostsPerZone: hosts,
    enginesPerZone: 2,
    servicesPerZone: 0,
    engineArgs: {
      warm: true,
      'first-token-ms': 2,
      'between-tokens-ms': 1,
      capacity: 1000,
    },
    adjustDocument: (document) => {
      for (const workspace of document.workspaces ?? []) {
        workspace.rate = UNLIMITED_RATE;
        workspace.burst = UNLIMITED_RATE;
      }
      for (const pool of document.pools ?? []) {
        pool.warmCapacity = 64;
        pool.coldCapacity = 64;
      }
    },
  });
}
