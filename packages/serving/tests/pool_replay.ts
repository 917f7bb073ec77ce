/** Replays the load of several workspaces on a slot pool, with the callers' retries and with batch items, without a network. */
import {CallOutcome, type CallTimes} from '@savoryspur/schema';
import type {DecidedRequest, PoolRequest} from '../src/slots/pool_types.js';
import type {SlotPool} from '../src/slots/slot_pool.js';

/** Requests of one workspace. */
export interface ReplayedWorkspace {
  name: string;
  /** Mean request rate, requests a second. */
  rate: number;
  /** Multiple of the rate at a time, beside the square wave. */
  getFactor?: (nowMs: number) => number;
}

/** Call to a server on one route. */
export interface ReplayedRoute {
  name: string | undefined;
  /** Share of the requests. */
  share: number;
  holdMs: number;
  firstEventMs: number;
}

/** Load of a replay. */
export interface ReplayOptions {
  servers: number;
  workspaces: readonly ReplayedWorkspace[];
  routes: readonly ReplayedRoute[];
  durationMs: number;
  /** Whether batch items use all slots that are left. */
  hasBatch: boolean;
  /** Time from a preemption until the slot is free, milliseconds. */
  preemptionMs: number;
  seed: number;
}

/** Outcome of the requests of one workspace. */
export interface WorkspaceResult {
  sent: number;
  inTime: number;
  late: number;
  refused: number;
}

const SLOTS = 8;
const TARGET_MS = 303;
const DEADLINE_MS = 5000;
const FAST_REFUSAL_MS = 65;
const BATCH_HOLD_MS = 4000;
const BATCH_RETRY_MS = 100;
const UPDATE_PERIOD_MS = 20;
const LOW_MS = 3400;
const HIGH_MS = 2400;
const DAEMONS = 76;

interface Call {
  request: PoolRequest;
  route: ReplayedRoute;
  sentMs: number;
  deadlineMs: number;
  retries: number;
}

/** Creates a seeded pseudo-random number generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** Gets the factor of the square wave at a time. */
function getWave(nowMs: number): number {
  return nowMs % (LOW_MS + HIGH_MS) < LOW_MS ? 0.38 : 1.87;
}

/** Replay of one load on one pool. */
export class PoolReplay {
  readonly results = new Map<string, WorkspaceResult>();
  /** Refused requests, with the time of the refusal and the time to return at, milliseconds. */
  readonly refusals: Array<{
    nowMs: number;
    returnMs: number;
    deadlineMs: number;
  }> = [];
  private readonly calls = new Map<string, Call>();
  private readonly events = new Map<number, Array<() => void>>();
  private readonly random: () => number;
  /** Grants of the batch items that run. */
  private readonly items = new Set<string>();
  private nextId = 0;
  private nowMs = 0;

  constructor(
    private readonly pool: SlotPool,
    private readonly options: ReplayOptions,
  ) {
    this.random = createRandom(options.seed);
  }

  /** Runs the replay. */
  run(): void {
    const {servers, workspaces, durationMs, hasBatch} = this.options;
    this.pool.setServers(
      Array.from({length: servers}, (unused, index) => ({
        id: `s-${index}`,
        zone: 'z',
        slots: SLOTS,
        softwareVersion: 'v1',
        coldUntilMs: 0,
      })),
    );
    if (hasBatch) {
      for (let item = 0; item < servers * SLOTS; item += 1) this.sendItem();
    }
    for (const {name} of workspaces) {
      this.results.set(name, {sent: 0, inTime: 0, late: 0, refused: 0});
    }
    for (; this.nowMs < durationMs; this.nowMs += 1) {
      for (const event of this.events.get(this.nowMs) ?? []) event();
      this.events.delete(this.nowMs);
      for (const {name, rate, getFactor} of workspaces) {
        const factor = getWave(this.nowMs) * (getFactor?.(this.nowMs) ?? 1);
        if (this.random() < (rate * factor) / 1000) this.sendNew(name);
      }
      if (this.nowMs % UPDATE_PERIOD_MS === 0) {
        this.settle(this.pool.updateWaitQueue(this.nowMs));
      }
      this.takePreemptions();
    }
  }

  /** Sums the outcomes of all workspaces, or of those that a condition chooses. */
  sum(isIncluded: (name: string) => boolean = () => true): WorkspaceResult {
    const total = {sent: 0, inTime: 0, late: 0, refused: 0};
    for (const [name, result] of this.results) {
      if (!isIncluded(name)) continue;
      total.sent += result.sent;
      total.inTime += result.inTime;
      total.late += result.late;
      total.refused += result.refused;
    }
    return total;
  }

  /** Computes the mean share of requests in time of the worst tenth of the workspaces. */
  computeWorstTenth(
    isIncluded: (name: string) => boolean = () => true,
  ): number {
    const shares = [...this.results]
      .filter(([name]) => isIncluded(name))
      .map(([, {sent, inTime}]) => inTime / Math.max(1, sent))
      .sort((a, b) => a - b);
    const worst = shares.slice(0, Math.max(1, Math.floor(shares.length / 10)));
    return worst.reduce((sum, share) => sum + share, 0) / worst.length;
  }

  private schedule(delayMs: number, event: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    this.events.set(atMs, [...(this.events.get(atMs) ?? []), event]);
  }

  private createRequest(changes: Partial<PoolRequest>): PoolRequest {
    this.nextId += 1;
    const {nowMs} = this;
    return {
      grantId: `g-${this.nextId}`,
      holder: `h-${this.nextId % DAEMONS}`,
      zone: 'z',
      isBatch: false,
      workspace: 'items',
      priority: 0,
      dueMs: nowMs + TARGET_MS,
      fastRefusalUntilMs: nowMs + FAST_REFUSAL_MS,
      waitDeadlineMs: nowMs + TARGET_MS * 4,
      prefix: [],
      excluded: [],
      ...changes,
    };
  }

  private sendNew(workspace: string): void {
    this.results.get(workspace)!.sent += 1;
    let rest = this.random();
    const {routes} = this.options;
    const route = routes.find(({share}) => (rest -= share) < 0) ?? routes[0]!;
    this.send(workspace, route, this.nowMs + DEADLINE_MS, 1);
  }

  private send(
    workspace: string,
    route: ReplayedRoute,
    deadlineMs: number,
    retries: number,
  ): void {
    const request = this.createRequest({
      workspace,
      route: route.name,
      callerDeadlineMs: deadlineMs,
    });
    const {nowMs: sentMs} = this;
    this.calls.set(request.grantId, {
      request,
      route,
      sentMs,
      deadlineMs,
      retries,
    });
    const decision = this.pool.acquire(request, sentMs);
    if (decision.kind !== 'queued') this.settle([{request, decision}]);
  }

  private sendItem(): void {
    const request = this.createRequest({
      isBatch: true,
      priority: 9,
      dueMs: this.nowMs + 18_000,
      waitDeadlineMs: 1e9,
    });
    const decision = this.pool.acquire(request, this.nowMs);
    if (decision.kind !== 'queued') this.settle([{request, decision}]);
  }

  private settle(decided: readonly DecidedRequest[]): void {
    for (const {request, decision} of decided) {
      if (request.isBatch) this.settleItem(request, decision);
      else this.settleCall(this.calls.get(request.grantId)!, decision);
    }
  }

  private settleItem(
    {grantId}: PoolRequest,
    {kind}: DecidedRequest['decision'],
  ): void {
    if (kind === 'refused') {
      this.schedule(BATCH_RETRY_MS, () => this.sendItem());
      return;
    }
    this.items.add(grantId);
    this.schedule(BATCH_HOLD_MS * (0.8 + 0.4 * this.random()), () =>
      this.endItem(grantId, CallOutcome.SUCCEEDED),
    );
  }

  private settleCall(call: Call, decision: DecidedRequest['decision']): void {
    const {request, route, sentMs, deadlineMs, retries} = call;
    const result = this.results.get(request.workspace)!;
    this.calls.delete(request.grantId);
    if (decision.kind === 'refused') {
      const returnMs = this.nowMs + decision.retryAfterMs;
      this.refusals.push({nowMs: this.nowMs, returnMs, deadlineMs});
      const honoredMs = (deadlineMs - this.nowMs) / 3;
      if (retries === 0 || decision.retryAfterMs > honoredMs)
        result.refused += 1;
      else {
        this.schedule(decision.retryAfterMs, () =>
          this.send(request.workspace, route, deadlineMs, retries - 1),
        );
      }
      return;
    }
    const firstEventMs = route.firstEventMs * (0.8 + 0.5 * this.random());
    if (this.nowMs + firstEventMs - sentMs <= TARGET_MS) result.inTime += 1;
    else result.late += 1;
    const times = {route: route.name ?? '', events: 18, firstEventMs};
    this.schedule(route.holdMs * (0.8 + 0.4 * this.random()), () =>
      this.release(request.grantId, CallOutcome.SUCCEEDED, times),
    );
  }

  private release(
    grantId: string,
    outcome: CallOutcome,
    times?: CallTimes,
  ): void {
    this.pool.release(grantId, outcome, this.nowMs, times);
    this.settle(this.pool.grantFreeSlots(this.nowMs));
  }

  /** Ends a batch item, which is followed by the next one. */
  private endItem(grantId: string, outcome: CallOutcome): void {
    if (!this.items.delete(grantId)) return;
    this.release(grantId, outcome);
    this.schedule(1, () => this.sendItem());
  }

  private takePreemptions(): void {
    for (let index = 0; index < DAEMONS; index += 1) {
      for (const grantId of this.pool.takePreemptions(`h-${index}`)) {
        this.schedule(this.options.preemptionMs, () =>
          this.endItem(grantId, CallOutcome.ABANDONED),
        );
      }
    }
  }
}
