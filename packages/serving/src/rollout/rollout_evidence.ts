/**
 * Evidence on the software versions of a service: its answers by route, software
 * version and server in time buckets. Performs no I/O; the current time is an
 * argument of each call.
 */
import {CallOutcome, type CallTimes} from '@savoryspur/schema';
import {CallStats} from './call_stats.js';

/** Length of a time bucket, milliseconds. */
const BUCKET_MS = 1_000;

/** Age from which buckets are merged into long ones, milliseconds. */
const FINE_RETENTION_MS = 20_000;

/** Length of a merged bucket, milliseconds. */
const LONG_BUCKET_MS = 5_000;

/** Age up to which answers count, milliseconds. */
export const EVIDENCE_RETENTION_MS = 120_000;

/** Number of servers of the target that encoded evidence tells apart, over all routes. */
const MAX_ENCODED_SERVERS = 96;

/** Smallest and largest number of servers of the target that encoded evidence tells apart on each route. */
const ENCODED_SERVERS_OF_ROUTE = {min: 4, max: 12};

/** Number of routes that are encoded: those with most answers of the target. */
const MAX_ENCODED_ROUTES = 24;

/** Number of versions with counters; the ones seen first are dropped. */
const MAX_VERSIONS = 16;

/** Answer of a server, or the lack of one, to a call that may have run. */
export interface CallEvidence {
  /** Name of the route of the request. */
  route: string;
  softwareVersion: string;
  serverId: string;
  /** Whether the call failed after it may have run. */
  isBad: boolean;
  /** Time to the first event, or to the head of an answer that is no stream, milliseconds. */
  firstEventMs?: number;
  /** Average time between later events, milliseconds. */
  eventMs?: number;
}

/** Outcomes of calls that may have run, and whether they are bad. */
const IS_BAD: Partial<Record<CallOutcome, boolean>> = {
  [CallOutcome.SUCCEEDED]: false,
  [CallOutcome.FAILED]: true,
  [CallOutcome.BROKEN]: true,
  [CallOutcome.SILENT]: true,
};

/**
 * Converts the outcome of a call to evidence.
 *
 * @param call - route, software version and server of the call
 * @param outcome - how the call ended
 * @param times - times of the call, if its holder reported them
 * @returns undefined for a call that did not run or was abandoned by its caller
 */
export function toCallEvidence(
  call: Pick<CallEvidence, 'route' | 'softwareVersion' | 'serverId'>,
  outcome: CallOutcome,
  times?: Partial<Pick<CallTimes, 'firstEventMs' | 'eventMs'>>,
): CallEvidence | undefined {
  const isBad = IS_BAD[outcome];
  if (isBad === undefined) return undefined;
  const {route, softwareVersion, serverId} = call;
  const evidence = {route, softwareVersion, serverId, isBad};
  // The times of a failed call tell how it failed, not how fast the version is.
  if (isBad) return evidence;
  const {firstEventMs, eventMs} = times ?? {};
  return {...evidence, firstEventMs, eventMs};
}

/** Answers by route, software version and server. */
export type Answers = Map<string, Map<string, Map<string, CallStats>>>;

/** Answers of one version since it was first seen. */
export interface AnswerCounts {
  answers: number;
  bad: number;
}

/** Order whose evidence is encoded. */
export interface EncodeScope {
  /** The software version whose servers are told apart. */
  target: string;
  /** Time of the order, on the clock of {@link RolloutEvidence.record}, milliseconds. */
  startedMs: number;
}

/** Coarse evidence as plain JSON. */
export interface EncodedEvidence {
  /** Answers and bad answers by software version. */
  counts: Record<string, [number, number]>;
  /** Stats without the worst servers, by route and software version. */
  versions: Record<string, Record<string, number[]>>;
  /** The version whose servers are told apart, its server ids, and its stats by route and index of the server. */
  target?: {
    version: string;
    servers: string[];
    routes: Record<string, Record<string, number[]>>;
  };
}

/** Answers that ended from a time on; restored ones have no time. */
export interface AnswerSpan {
  startMs: number;
  answers: Answers;
}

/** Answers that ended within a span of time. */
interface Bucket extends AnswerSpan {
  endMs: number;
}

/** Evidence of all calls to the servers of one service. */
export class RolloutEvidence {
  /** Buckets, oldest first. */
  private buckets: Bucket[] = [];
  /** Answers that were restored, whose times are unknown. */
  private restored: Answers = new Map();
  private readonly counts = new Map<string, AnswerCounts>();

  /**
   * Records a call that has ended.
   *
   * @param call - the call
   * @param nowMs - current time, milliseconds; never decreases
   */
  record(call: CallEvidence, nowMs: number): void {
    const bucket = this.getBucket(nowMs);
    const {route, softwareVersion, serverId, isBad} = call;
    const stats = getStats(bucket.answers, route, softwareVersion, serverId);
    const counts = this.getCounts(softwareVersion);
    stats.calls += 1;
    counts.answers += 1;
    if (isBad) {
      stats.bad += 1;
      counts.bad += 1;
    }
    stats.firstEvent.add(call.firstEventMs);
    stats.event.add(call.eventMs);
  }

  /** Counts the answers of a version, also those before a restore. */
  countAnswers(softwareVersion: string): AnswerCounts {
    return {...(this.counts.get(softwareVersion) ?? {answers: 0, bad: 0})};
  }

  /**
   * Collects the answers of a span of time.
   *
   * @param fromMs - start; a bucket that begins earlier is left out
   * @param toMs - end; a bucket that begins at this time or later is left out
   * @param isRestoredIncluded - whether restored answers are included
   */
  collect(fromMs: number, toMs: number, isRestoredIncluded: boolean): Answers {
    const collected: Answers = new Map();
    if (isRestoredIncluded) mergeAnswers(collected, this.restored);
    for (const {startMs, answers} of this.buckets) {
      if (startMs >= fromMs && startMs < toMs) mergeAnswers(collected, answers);
    }
    return collected;
  }

  /**
   * Lists the answers of each time bucket from a time on, and the restored ones
   * as a bucket of their own.
   *
   * @param fromMs - start; a bucket that begins earlier is left out
   */
  listSpans(fromMs: number): AnswerSpan[] {
    const restored = {
      startMs: Number.NEGATIVE_INFINITY,
      answers: this.restored,
    };
    return [restored, ...this.buckets.filter(({startMs}) => startMs >= fromMs)];
  }

  /** Drops restored answers, which belong to the order that they were encoded for. */
  dropRestored(): void {
    this.restored = new Map();
  }

  /**
   * Encodes the evidence for the next owner, in at most about 8 KB.
   *
   * @param scope - order whose target is told apart by server; absent: the version
   *     seen last, in the whole retention time
   */
  encode(scope?: EncodeScope): EncodedEvidence {
    const target = scope?.target ?? [...this.counts.keys()].at(-1);
    const all = this.collect(-Infinity, Infinity, true);
    const sinceOrder = this.collect(
      scope === undefined ? -Infinity : computeBucketStart(scope.startedMs),
      Infinity,
      true,
    );
    const counts: EncodedEvidence['counts'] = {};
    for (const [version, {answers, bad}] of this.counts) {
      counts[version] = [answers, bad];
    }
    const encoded: EncodedEvidence = {counts, versions: {}};
    for (const route of listBusiestRoutes(all, target)) {
      const versions: Record<string, number[]> = {};
      for (const [version, servers] of all.get(route) ?? []) {
        if (version === target) continue;
        versions[version] = sumBestServers([...servers.values()]).encode();
      }
      encoded.versions[route] = versions;
    }
    if (target !== undefined) {
      encoded.target = encodeTarget(sinceOrder, target);
    }
    return encoded;
  }

  /** Restores the evidence that another owner has encoded. */
  static restore(encoded: EncodedEvidence): RolloutEvidence {
    const evidence = new RolloutEvidence();
    for (const [version, [answers, bad]] of Object.entries(encoded.counts)) {
      evidence.counts.set(version, {answers, bad});
    }
    for (const [route, versions] of Object.entries(encoded.versions)) {
      for (const [version, numbers] of Object.entries(versions)) {
        const stats = getStats(evidence.restored, route, version, version);
        stats.merge(CallStats.decode(numbers));
      }
    }
    if (encoded.target === undefined) return evidence;
    const {version, servers, routes} = encoded.target;
    for (const [route, byServer] of Object.entries(routes)) {
      for (const [index, numbers] of Object.entries(byServer)) {
        const serverId = servers[Number(index)] ?? index;
        const stats = getStats(evidence.restored, route, version, serverId);
        stats.merge(CallStats.decode(numbers));
      }
    }
    return evidence;
  }

  /** Gets the bucket of the current time; merges and drops old ones when a new one begins. */
  private getBucket(nowMs: number): Bucket {
    const latest = this.buckets.at(-1);
    if (latest !== undefined && nowMs < latest.endMs) return latest;
    const startMs = computeBucketStart(nowMs);
    const bucket: Bucket = {
      startMs,
      endMs: startMs + BUCKET_MS,
      answers: new Map(),
    };
    const kept: Bucket[] = [];
    for (const old of this.buckets) {
      if (old.endMs <= nowMs - EVIDENCE_RETENTION_MS) continue;
      const previous = kept.at(-1);
      if (
        previous !== undefined &&
        old.endMs <= nowMs - FINE_RETENTION_MS &&
        old.endMs - previous.startMs <= LONG_BUCKET_MS
      ) {
        mergeAnswers(previous.answers, old.answers);
        previous.endMs = old.endMs;
      } else {
        kept.push(old);
      }
    }
    kept.push(bucket);
    this.buckets = kept;
    return bucket;
  }

  /** Gets the counters of a version; drops the version seen first when there are too many. */
  private getCounts(softwareVersion: string): AnswerCounts {
    const known = this.counts.get(softwareVersion);
    if (known !== undefined) return known;
    const counts = {answers: 0, bad: 0};
    this.counts.set(softwareVersion, counts);
    if (this.counts.size <= MAX_VERSIONS) return counts;
    for (const first of this.counts.keys()) {
      this.counts.delete(first);
      break;
    }
    return counts;
  }
}

/** Computes the start of the bucket that contains a time, milliseconds. */
export function computeBucketStart(ms: number): number {
  return Math.floor(ms / BUCKET_MS) * BUCKET_MS;
}

/** Sums the stats of a version's servers without the worst quarter, which is chosen for failures and for each time on its own. */
export function sumBestServers(servers: readonly CallStats[]): CallStats {
  const sum = new CallStats();
  const used = servers.filter(({calls}) => calls > 0);
  const best = dropWorst(used, countWorst(used.length), (s) => s.bad / s.calls);
  for (const {calls, bad} of best) {
    sum.calls += calls;
    sum.bad += bad;
  }
  for (const field of ['firstEvent', 'event'] as const) {
    const times = used.map((s) => s[field]).filter(({count}) => count > 0);
    const dropped = countWorst(times.length);
    for (const one of dropWorst(times, dropped, (t) => t.getMean())) {
      sum[field].merge(one);
    }
  }
  return sum;
}

/** Number of the worst servers of a version that are left out of a comparison. */
export function countWorst(servers: number): number {
  return Math.floor(servers / 4);
}

/** Lists servers without a number of them with the highest scores. */
export function dropWorst<T>(
  servers: readonly T[],
  dropped: number,
  score: (server: T) => number,
): T[] {
  const sorted = [...servers].sort((a, b) => score(a) - score(b));
  return sorted.slice(0, Math.max(0, sorted.length - dropped));
}

/** Lists the routes to encode, those with most answers of the target first. */
function listBusiestRoutes(all: Answers, target?: string): string[] {
  const calls = new Map<string, number>();
  for (const [route, versions] of all) {
    let sum = 0;
    for (const stats of versions.get(target ?? '')?.values() ?? []) {
      sum += stats.calls;
    }
    calls.set(route, sum);
  }
  const routes = [...calls].sort(([, a], [, b]) => b - a);
  return routes.slice(0, MAX_ENCODED_ROUTES).map(([route]) => route);
}

/** Encodes the answers of the target by route and server. */
function encodeTarget(
  answers: Answers,
  target: string,
): EncodedEvidence['target'] {
  const routes = listBusiestRoutes(answers, target);
  const {min, max} = ENCODED_SERVERS_OF_ROUTE;
  const share = Math.floor(MAX_ENCODED_SERVERS / Math.max(1, routes.length));
  const limit = Math.min(max, Math.max(min, share));
  const servers = new Map<string, number>();
  const encoded: Record<string, Record<string, number[]>> = {};
  for (const route of routes) {
    const groups: Array<[string, CallStats]> = [];
    // Servers beyond the limit are added to the others, by turns.
    let turn = 0;
    for (const [serverId, stats] of answers.get(route)?.get(target) ?? []) {
      const group = groups[turn % limit];
      turn += 1;
      if (group === undefined) groups.push([serverId, stats]);
      else group[1].merge(stats);
    }
    const byServer: Record<string, number[]> = {};
    for (const [serverId, stats] of groups) {
      const index = servers.get(serverId) ?? servers.size;
      servers.set(serverId, index);
      byServer[index] = stats.encode();
    }
    encoded[route] = byServer;
  }
  return {version: target, servers: [...servers.keys()], routes: encoded};
}

/** Gets the stats of a server, which are created if there are none. */
function getStats(
  answers: Answers,
  route: string,
  version: string,
  serverId: string,
): CallStats {
  let versions = answers.get(route);
  if (versions === undefined) answers.set(route, (versions = new Map()));
  let servers = versions.get(version);
  if (servers === undefined) versions.set(version, (servers = new Map()));
  let stats = servers.get(serverId);
  if (stats === undefined) servers.set(serverId, (stats = new CallStats()));
  return stats;
}

/** Adds answers to others. */
function mergeAnswers(sum: Answers, added: Answers): void {
  for (const [route, versions] of added) {
    for (const [version, servers] of versions) {
      for (const [serverId, stats] of servers) {
        getStats(sum, route, version, serverId).merge(stats);
      }
    }
  }
}
