/** Bytes and CPU time of heartbeats: one zone in one process, over the real transport. */
import {SystemClock} from '@savoryspur/common';
import {
  computeHeartbeatTiming,
  HEARTBEAT_EXCHANGE_BYTES,
} from '@savoryspur/fleet';
import {type ListedHost, ListedHostState} from '@savoryspur/schema';
import {computeLine} from './least_squares.js';
import {measureCpu} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';
import {EXCHANGE_HEADER_BYTES, SmallZone} from './small_zone.js';

/** Numbers of daemons in the measured zones. */
const ZONE_SIZES = [3, 6, 12];

/** Heartbeat period during the measurement, milliseconds. */
const HEARTBEAT_PERIOD_MS = 200;

/** Time in which connections are made and membership views converge, milliseconds. */
const STABILIZATION_MS = 1500;

/** Duration of a measurement, milliseconds. */
const MEASUREMENT_MS = 4000;

/** Peers of a daemon in its zone at the design size of 410 daemons in 11 zones. */
const DESIGN_PEERS = 37;

/** Daemons of the whole fleet at the design size. */
const DESIGN_HOSTS = 410;

/** Default lease settings. */
const DEFAULT_LEASES = {
  heartbeatMs: 1000,
  delegationMs: 3000,
  heartbeatBytes: 2048,
  slotTakeoverMs: 10_000,
  chunkMs: 15_000,
  configPollMs: 1000,
  hostListPollMs: 2000,
};

/** Measures heartbeats in zones of several sizes. */
export async function measureHeartbeats(): Promise<SlopeSection> {
  const rows: SlopeRow[] = [];
  for (const daemons of ZONE_SIZES) rows.push(await measureZone(daemons));
  const line = (name: string) =>
    computeLine(rows.map((row) => ({x: row.daemons! - 1, y: row[name]!})));
  const lines = {
    bytesPerExchangeByPeer: line('bytesPerExchange'),
    cpuMicrosecondsPerExchangeByPeer: line('cpuMicrosecondsPerExchange'),
  };
  const timing = computeHeartbeatTiming(DEFAULT_LEASES, DESIGN_PEERS);
  rows.push({
    designPeers: DESIGN_PEERS,
    designPeriodMs: timing.periodMs,
    designTermMs: timing.termMs,
    designTakeoverMs: timing.takeoverMs,
    assumedExchangeBytes: HEARTBEAT_EXCHANGE_BYTES,
  });
  rows.push({
    hosts: DESIGN_HOSTS,
    hostListBytes: measureHostListBytes(DESIGN_HOSTS),
  });
  return {name: 'heartbeats', rows, lines};
}

async function measureZone(daemons: number): Promise<SlopeRow> {
  const zone = new SmallZone(HEARTBEAT_PERIOD_MS);
  await zone.start(daemons);
  const clock = new SystemClock();
  await clock.sleep(STABILIZATION_MS);
  const before = zone.sumBytes();
  const startedMs = clock.now();
  const cpuSeconds = await measureCpu(() => clock.sleep(MEASUREMENT_MS));
  const elapsedMs = clock.now() - startedMs;
  const bytes = zone.sumBytes() - before;
  await zone.stop();
  const exchanges = (daemons * (daemons - 1) * elapsedMs) / HEARTBEAT_PERIOD_MS;
  const frameBytes = bytes / exchanges;
  return {
    daemons,
    nominalExchanges: exchanges,
    frameBytesPerExchange: frameBytes,
    bytesPerExchange: frameBytes + EXCHANGE_HEADER_BYTES,
    cpuMicrosecondsPerExchange: (cpuSeconds / exchanges) * 1e6,
  };
}

/** Measures the body of one answer of the host list service, bytes. */
function measureHostListBytes(count: number): number {
  const hosts = Array.from({length: count}, (unused, i): ListedHost => ({
    host: `entry-host-${i}`,
    zone: `zone-${i % 11}`,
    region: `region-${i % 3}`,
    address: `10.0.${i >> 8}.${i & 255}`,
    peerPort: 7400,
    state: ListedHostState.LIVE,
  }));
  return Buffer.byteLength(JSON.stringify({hosts}));
}
