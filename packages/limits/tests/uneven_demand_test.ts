import type {Workspace} from '@savoryspur/schema';
import {expect} from 'chai';
import {type Baseline, CentralOwner, Oracle, StaticSplit} from './baselines.js';
import {SimulatedFleet} from './simulated_fleet.js';
import {SimulatedTime} from './simulated_time.js';

const STEP_MS = 10;

/**
 * Time between the start of the daemons and the first request, milliseconds.
 */
const START_UP_MS = 1000;

const RATE = 60;
const BURST = 60;
const WORKSPACE: Workspace = {
  name: 'w',
  rate: RATE,
  burst: BURST,
  weight: 1,
  batchShare: 0.5,
  objective: 0.99,
};
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOSTS = ZONES.flatMap((zone) => [0, 1, 2, 3].map((i) => `${zone}-${i}`));

/** Distribution of the requests over the hosts. */
interface Demand {
  name: string;
  /** Relative number of requests to each host. */
  weights: number[];
  /** Zone that is cut off from 10 s to 16 s. */
  cutZone?: string;
  /** Whether every host is stopped and restarted, one after another. */
  isRolling?: boolean;
}

const DEMANDS: Demand[] = [
  {name: 'even', weights: HOSTS.map(() => 1)},
  {name: 'one host', weights: HOSTS.map((h, i) => (i === 5 ? 1 : 0))},
  {
    name: 'one zone',
    weights: HOSTS.map((h) => (h.startsWith('zone-b') ? 1 : 0)),
  },
  {name: '80/20', weights: HOSTS.map((h, i) => (i === 0 ? 44 : 1))},
  {name: 'even, rolling restart', weights: HOSTS.map(() => 1), isRolling: true},
  {name: 'even, cut', weights: HOSTS.map(() => 1), cutZone: 'zone-a'},
];

/** Result of one rate limiter, compared with the oracle. */
interface Outcome {
  /** Requests that the oracle admitted beyond those admitted here. */
  wrongful: number;
  admittedByOracle: number;
  /** Tokens that savoryspur admitted beyond rate x t + burst. */
  excess: number;
}

function countWrongfulRefusals(admitted: number, oracle: number): number {
  return Math.max(0, oracle - admitted);
}

/** Time between the planned stops of two hosts, milliseconds. */
const STOP_GAP_MS = 2400;

/** Time between the start of a planned stop and the restart, milliseconds. */
const PLANNED_STOP_MS = 1200;

/** Time for which a host that stops receives no requests, milliseconds. */
const DRAINED_MS = 1500;

/**
 * Tells whether the load balancer sends nothing to a host while it restarts.
 */
function isDrained(host: number, t: number): boolean {
  return Math.floor(t / STOP_GAP_MS) === host && t % STOP_GAP_MS < DRAINED_MS;
}

/** Starts the planned stop or the restart of a host that is due. */
async function runRollingRestart(
  fleet: SimulatedFleet,
  timeMs: number,
): Promise<void> {
  const host = HOSTS[Math.floor(timeMs / STOP_GAP_MS)];
  if (host === undefined) return;
  if (timeMs % STOP_GAP_MS === 0) void fleet.hosts.get(host)?.core.leave();
  if (timeMs % STOP_GAP_MS === PLANNED_STOP_MS) {
    fleet.stop(host);
    await fleet.start(host, host.slice(0, -2));
  }
}

function applyRestarts(baselines: Baseline[], timeMs: number): void {
  if (timeMs % STOP_GAP_MS !== PLANNED_STOP_MS) return;
  const host = Math.floor(timeMs / STOP_GAP_MS);
  if (host >= HOSTS.length) return;
  for (const baseline of baselines) baseline.applyRestart(host);
}

/** Sends 0.7 of the rate on average, in bursts that the oracle admits. */
async function runDemand(demand: Demand): Promise<Record<string, Outcome>> {
  const time = new SimulatedTime();
  const fleet = new SimulatedFleet(
    time,
    Object.fromEntries(ZONES.map((zone) => [zone, 4])),
    WORKSPACE,
  );
  for (const host of HOSTS) fleet.list(host, host.slice(0, -2));
  for (const host of HOSTS) {
    await fleet.start(host, host.slice(0, -2));
  }
  const isCut = (host: number, nowMs: number): boolean =>
    demand.cutZone !== undefined &&
    HOSTS[host]!.startsWith(demand.cutZone) &&
    nowMs >= 10_000 &&
    nowMs < 16_000;
  const baselines: Record<string, Baseline> = {
    oracle: new Oracle(RATE, BURST),
    'static split': new StaticSplit(RATE, BURST, HOSTS.length),
    'central owner': new CentralOwner(
      RATE,
      BURST,
      (host, nowMs) => !isCut(host, nowMs),
    ),
  };
  const admitted: Record<string, number> = {};
  const total = demand.weights.reduce((a, b) => a + b);
  const delegatedShares: number[] = [];
  let dueRequests = 0;
  let sentRequests = 0;
  for (let timeMs = 0; timeMs < START_UP_MS; timeMs += STEP_MS)
    await time.advance(STEP_MS);
  for (let timeMs = 0; timeMs < 30_000; timeMs += STEP_MS) {
    if (timeMs === 10_000 && demand.cutZone !== undefined) {
      fleet.network.cutZones.add(demand.cutZone);
    }
    if (timeMs === 16_000) fleet.network.cutZones.clear();
    if (demand.isRolling === true) {
      await runRollingRestart(fleet, timeMs);
      applyRestarts(Object.values(baselines), timeMs);
    }
    if (timeMs % 100 === 0)
      delegatedShares.push(fleet.sumShares().delegatedShare);
    const isBurst = timeMs % 3000 < 600;
    dueRequests += ((isBurst ? 2 : 0.375) * RATE * STEP_MS) / 1000;
    for (; dueRequests >= 1; dueRequests -= 1) {
      sentRequests += 1;
      let position = ((sentRequests * 0.618033) % 1) * total;
      let host = 0;
      while (position >= demand.weights[host]!)
        position -= demand.weights[host++]!;
      while (demand.isRolling === true && isDrained(host, timeMs)) {
        host = (host + 1) % HOSTS.length;
      }
      fleet.sendRequest(HOSTS[host]!, 250);
      for (const [name, baseline] of Object.entries(baselines)) {
        if (baseline.admit(host, timeMs))
          admitted[name] = (admitted[name] ?? 0) + 1;
      }
    }
    await time.advance(STEP_MS);
  }
  await time.advance(500);
  const oracle = admitted['oracle']!;
  const excess = fleet.checker.computeExcess([{fromMs: 0, rate: RATE}], BURST);
  const meanShare =
    delegatedShares.reduce((a, b) => a + b) / delegatedShares.length;
  console.log(`    delegated share of the rate, mean: ${meanShare.toFixed(3)}`);
  const outcomes: Record<string, Outcome> = {};
  admitted['savoryspur'] = fleet.checker.count();
  for (const name of ['savoryspur', 'static split', 'central owner']) {
    outcomes[name] = {
      wrongful: countWrongfulRefusals(admitted[name] ?? 0, oracle),
      admittedByOracle: oracle,
      excess,
    };
  }
  for (const host of [...fleet.hosts.keys()]) fleet.stop(host);
  return outcomes;
}

describe('wrongful refusals', () => {
  for (const demand of DEMANDS) {
    it(`are rarer than with a static split: ${demand.name}`, async () => {
      const outcomes = await runDemand(demand);
      const lines = Object.entries(outcomes).map(
        ([name, {wrongful, admittedByOracle}]) =>
          `${name} ${wrongful}/${admittedByOracle}`,
      );
      console.log(`    ${demand.name}: ${lines.join(', ')}`);
      const ours = outcomes['savoryspur']!;
      expect(ours.excess).to.be.at.most(1e-6);
      expect(ours.wrongful).to.be.at.most(outcomes['static split']!.wrongful);
    });
  }
});
