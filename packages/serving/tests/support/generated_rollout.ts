/** Answers of generated software versions, good and bad ones, to a service during a rollout. */
import {SeededRandom} from '@savoryspur/testkit';
import {
  RolloutEvidence,
  type CallEvidence,
} from '../../src/rollout/rollout_evidence.js';
import {
  RolloutVerdict,
  decideRollout,
  type RolloutView,
} from '../../src/rollout/rollout_decision.js';

/** Kinds of bad versions. */
export enum Fault {
  NONE = 'none',
  AT_ONCE = 'at once',
  LATER = 'later',
  UNDER_LOAD = 'under load',
  ONE_ROUTE = 'on one route',
}

/** Kinds of servers that are faulty by themselves, of both versions. */
export enum ServerFault {
  NONE = 'none',
  GREY = 'grey',
  FLAPPING = 'flapping',
  CRASHING = 'crashing',
  SLOW = 'slow',
  MIXED = 'mixed',
}

/** Version to generate. */
export interface Generated {
  fault: Fault;
  /** Whether the version is slow instead of failing. */
  isSlow: boolean;
  serverFault: ServerFault;
  /** Requests per second; absent: 100 to 500 by seed. */
  requestsPerSecond?: number;
  /** Time from the order to the deadline, seconds; absent: 15 to 60 by seed. */
  durationS?: number;
  /** Part of the answers that a failing version fails; absent: 0.1 to 1 by seed. */
  failedShare?: number;
}

/** What a rollout has come to. */
export interface Outcome {
  verdict: RolloutVerdict;
  reason: string;
  /** Bad answers of the version, not those of faulty servers, until the rollback or the end. */
  badAnswers: number;
  /** Time of the 50th bad answer, milliseconds after the order. */
  fiftiethMs?: number;
  /** Time of the rollback, or of the last decision, milliseconds after the order. */
  endMs: number;
}

const TARGET = 'v2';
const TICK_MS = 100;
const DECISION_MS = 500;
/** Time before the deadline at which the last decision is made, milliseconds: new work goes to the target only from then on. */
const FINISHING_MS = 3_000;
/** Time of old answers before the order, milliseconds. */
const BEFORE_MS = 5_000;
const TARGET_SHARE = 0.05;
const FAULTY_SERVERS = 0.15;
const SERVER_FAULTS = [
  ServerFault.GREY,
  ServerFault.FLAPPING,
  ServerFault.CRASHING,
  ServerFault.SLOW,
];

/** A generated server. */
interface GeneratedServer {
  id: string;
  softwareVersion: string;
  speed: number;
  fault: ServerFault;
  failedShare: number;
  slowness: number;
  /** Phase of flapping, or time of the crash, milliseconds. */
  atMs: number;
}

/** A generated route. */
interface GeneratedRoute {
  name: string;
  weight: number;
  firstEventMs: number;
  eventMs: number;
}

/** Rollout of a generated version. */
export class GeneratedRollout {
  private readonly random: SeededRandom;
  private readonly servers: {old: GeneratedServer[]; target: GeneratedServer[]};
  private readonly routes: GeneratedRoute[] = [];
  private readonly perSecond: number;
  private readonly durationMs: number;
  private readonly baseFailures: number;
  private readonly failedShare: number;
  private readonly slowness: number;
  private readonly badFromMs: number;
  private readonly loadPeriodMs: number;
  private evidence = new RolloutEvidence();

  constructor(
    private readonly generated: Generated,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.perSecond = generated.requestsPerSecond ?? this.take(100, 500);
    this.durationMs = (generated.durationS ?? this.take(15, 60)) * 1_000;
    this.baseFailures = this.take(0, 0.01);
    this.failedShare = generated.failedShare ?? this.take(0.1, 1);
    this.slowness = this.take(3, 8);
    this.badFromMs =
      generated.fault === Fault.LATER
        ? this.durationMs * this.take(0.2, 0.6)
        : 0;
    this.loadPeriodMs = this.take(4_000, 12_000);
    const isOneRoute = generated.fault === Fault.ONE_ROUTE;
    const routes = Math.floor(this.take(isOneRoute ? 2 : 1, 5));
    for (let index = 0; index < routes; index += 1) {
      this.routes.push({
        name: `route-${index}`,
        weight: this.take(0.5, 1.5),
        firstEventMs: this.take(30, 200),
        eventMs: this.take(5, 30),
      });
    }
    this.servers = {
      old: this.createServers('v1', Math.floor(this.take(8, 25))),
      target: this.createServers(TARGET, Math.floor(this.take(4, 9))),
    };
  }

  /** Runs the rollout until it is rolled back or the last decision is due. */
  run(): Outcome {
    const lastMs = this.durationMs - FINISHING_MS;
    const outcome: Outcome = {
      verdict: RolloutVerdict.KEEP,
      reason: '',
      badAnswers: 0,
      endMs: lastMs,
    };
    // Every second seed goes on from encoded evidence at half of the time.
    const handoverMs =
      this.seed % 2 === 0
        ? Infinity
        : Math.floor(lastMs / 2 / TICK_MS) * TICK_MS;
    for (let nowMs = -BEFORE_MS; nowMs <= lastMs; nowMs += TICK_MS) {
      this.recordTick(nowMs, outcome);
      const view = this.createView(nowMs);
      if (nowMs === handoverMs) {
        const json = JSON.stringify(this.evidence.encode(view));
        this.evidence = RolloutEvidence.restore(JSON.parse(json));
      }
      if (nowMs < 0 || nowMs % DECISION_MS !== 0) continue;
      const decision = decideRollout(this.evidence, view);
      outcome.verdict = decision.kind;
      if (decision.kind !== RolloutVerdict.ROLL_BACK) continue;
      return {...outcome, reason: decision.reason, endMs: nowMs};
    }
    return outcome;
  }

  /** Records the calls of one tick. */
  private recordTick(nowMs: number, outcome: Outcome): void {
    const isBusy = this.isBusy(nowMs);
    const rate = this.perSecond * (isBusy ? 1 : 0.4);
    const mean = (rate * TICK_MS) / 1_000;
    let atMs = this.random.takeExponential(1 / mean);
    for (; atMs < 1; atMs += this.random.takeExponential(1 / mean)) {
      const isTarget = nowMs >= 0 && this.random.takeUniform() < TARGET_SHARE;
      const servers = isTarget ? this.servers.target : this.servers.old;
      const server = this.choose(servers);
      const route = this.chooseRoute();
      const isFaulty =
        isTarget &&
        nowMs >= this.badFromMs &&
        this.isVersionFaulty(route, isBusy);
      const call = this.createCall(server, route, nowMs, isFaulty);
      if (call === undefined) continue;
      this.evidence.record(call, nowMs);
      if (!isFaulty || !(call.isBad || this.generated.isSlow)) continue;
      outcome.badAnswers += 1;
      if (outcome.badAnswers === 50) outcome.fiftiethMs = nowMs;
    }
  }

  private createView(nowMs: number): RolloutView {
    return {
      target: TARGET,
      startedMs: 0,
      deadlineMs: this.durationMs,
      nowMs,
      hasTargetServers: true,
      hasTraffic: true,
    };
  }

  private isBusy(nowMs: number): boolean {
    return Math.floor((nowMs + BEFORE_MS) / this.loadPeriodMs) % 2 === 1;
  }

  private isVersionFaulty(route: GeneratedRoute, isBusy: boolean): boolean {
    const {fault} = this.generated;
    if (fault === Fault.NONE) return false;
    if (fault === Fault.UNDER_LOAD) return isBusy;
    return fault !== Fault.ONE_ROUTE || route === this.routes[0];
  }

  /** Creates the evidence of a call; undefined when it did not run. */
  private createCall(
    server: GeneratedServer,
    route: GeneratedRoute,
    nowMs: number,
    isFaulty: boolean,
  ): CallEvidence | undefined {
    const {id: serverId, softwareVersion} = server;
    const base = {route: route.name, softwareVersion, serverId};
    const own = this.computeServerFailures(server, nowMs);
    if (own === undefined) return undefined;
    const version = isFaulty && !this.generated.isSlow ? this.failedShare : 0;
    const passed = (1 - own) * (1 - version) * (1 - this.baseFailures);
    if (this.random.takeUniform() >= passed) return {...base, isBad: true};
    const slow = isFaulty && this.generated.isSlow ? this.slowness : 1;
    const factor = (slow * server.slowness) / server.speed;
    return {
      ...base,
      isBad: false,
      firstEventMs: route.firstEventMs * factor * this.takeLogNormal(0.5),
      eventMs: route.eventMs * factor * this.takeLogNormal(0.3),
    };
  }

  /** Computes the part of its calls that a server fails by itself; undefined when it is down. */
  private computeServerFailures(
    server: GeneratedServer,
    nowMs: number,
  ): number | undefined {
    if (server.fault === ServerFault.GREY) return server.failedShare;
    const phaseMs =
      server.fault === ServerFault.FLAPPING
        ? (nowMs + BEFORE_MS + server.atMs) % 5_000
        : nowMs - server.atMs;
    const hasDowns = [ServerFault.FLAPPING, ServerFault.CRASHING].includes(
      server.fault,
    );
    if (!hasDowns || phaseMs < 0) return 0;
    // Calls that the server runs when it goes down break.
    if (phaseMs < 200) return 1;
    return server.fault === ServerFault.FLAPPING && phaseMs > 2_000
      ? 0
      : undefined;
  }

  private createServers(
    softwareVersion: string,
    count: number,
  ): GeneratedServer[] {
    const servers: GeneratedServer[] = [];
    for (let index = 0; index < count; index += 1) {
      const isFaulty = this.random.takeUniform() < FAULTY_SERVERS;
      const mixed = this.choose(SERVER_FAULTS);
      const {serverFault} = this.generated;
      const kind = serverFault === ServerFault.MIXED ? mixed : serverFault;
      const fault = isFaulty ? kind : ServerFault.NONE;
      servers.push({
        id: `${softwareVersion}-${index}`,
        softwareVersion,
        speed: this.take(0.55, 1.2),
        fault,
        failedShare: this.take(0.4, 0.6),
        slowness: fault === ServerFault.SLOW ? this.take(2, 6) : 1,
        atMs: this.take(0, this.durationMs),
      });
    }
    return servers;
  }

  private chooseRoute(): GeneratedRoute {
    const sum = this.routes.reduce((total, {weight}) => total + weight, 0);
    let left = this.take(0, sum);
    for (const route of this.routes) {
      left -= route.weight;
      if (left < 0) return route;
    }
    return this.choose(this.routes);
  }

  private choose<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.random.takeUniform() * items.length)];
    if (item === undefined) throw new Error('nothing to choose from');
    return item;
  }

  private take(from: number, to: number): number {
    return from + this.random.takeUniform() * (to - from);
  }

  /** Takes a number of which the logarithm is normally distributed around 0. */
  private takeLogNormal(deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.takeUniform()));
    const angle = 2 * Math.PI * this.random.takeUniform();
    return Math.exp(deviation * radius * Math.cos(angle));
  }
}
