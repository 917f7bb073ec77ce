/** Health of backend servers, derived from the outcomes of calls to them. */
import {computeBackoffMs} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';

/** Suspension of a server after its first failure, milliseconds; doubles up to {@link MAX_SUSPENSION_MS}. */
const INITIAL_SUSPENSION_MS = 250;

/** Longest suspension after failures, milliseconds: a server that has recovered gets work again within this time. */
const MAX_SUSPENSION_MS = 1000;

/** Suspension of a server that refused a call because it had no free slot, milliseconds. */
const FULL_SERVER_SUSPENSION_MS = 30;

/** Suspension of a server at whose address another server answered, milliseconds: the entry is about to be removed from the registry. */
const WRONG_SERVER_SUSPENSION_MS = 3000;

/** Smoothing factor of the failure rate's moving average: share of the newest outcome. */
const FAILURE_RATE_SMOOTHING_FACTOR = 0.15;

/** Failure rate below which a server gets no load penalty. */
const HEALTHY_FAILURE_RATE = 0.1;

/** Load penalty of a server that fails every call; proportional to the failure rate. */
const LOAD_PENALTY_FACTOR = 1.5;

/** Consecutive failures after which a server is suspended for all holders. */
const FAILURES_TO_SUSPEND = 2;

/** Suspension of a server for one holder. */
interface HolderSuspension {
  failures: number;
  /** When the latest suspension began, monotonic milliseconds. */
  sinceMs: number;
  /** End of the suspension, monotonic milliseconds. */
  untilMs: number;
}

/** Health of one server. Times are monotonic milliseconds. */
interface Health {
  /** Exponential moving average of failed calls, from 0 to 1. */
  failureRate: number;
  consecutiveFailures: number;
  /** When the latest suspension after failures began. */
  suspendedSinceMs: number;
  suspendedUntilMs: number;
  /** Suspensions for single holders: a network partition may cut off only some of them. */
  holderSuspensions: Map<string, HolderSuspension>;
}

/** Outcomes that raise the failure rate of a server. */
const FAILURE_OUTCOMES = new Set([
  CallOutcome.BROKEN,
  CallOutcome.FAILED,
  CallOutcome.SILENT,
  CallOutcome.UNREACHABLE,
]);

/** Health of the servers of a pool. */
export class ServerHealth {
  private readonly healthByServer = new Map<string, Health>();

  /** Drops the health of all servers except the given ones. */
  keepOnly(serverIds: ReadonlySet<string>): void {
    for (const id of this.healthByServer.keys()) {
      if (!serverIds.has(id)) this.healthByServer.delete(id);
    }
  }

  /** Checks that a server is suspended neither for all holders nor for the given one, if any. */
  isUsable(
    serverId: string,
    holder: string | undefined,
    nowMs: number,
  ): boolean {
    const health = this.healthByServer.get(serverId);
    if (!health) return true;
    if (health.suspendedUntilMs > nowMs) return false;
    if (holder === undefined) return true;
    return (health.holderSuspensions.get(holder)?.untilMs ?? 0) <= nowMs;
  }

  /** Gets the penalty that callers add to the load of a server, so that servers with fewer failures are preferred. */
  getLoadPenalty(serverId: string): number {
    const rate = this.healthByServer.get(serverId)?.failureRate ?? 0;
    return rate < HEALTHY_FAILURE_RATE ? 0 : rate * LOAD_PENALTY_FACTOR;
  }

  /**
   * Gets the time at which the first of some servers gets work again.
   *
   * @param serverIds - the servers
   * @param nowMs - current time, monotonic milliseconds
   * @returns monotonic milliseconds; the current time when one of the servers is
   *     not suspended or none is given
   */
  getFirstResumeMs(serverIds: Iterable<string>, nowMs: number): number {
    let firstMs = Number.POSITIVE_INFINITY;
    for (const id of serverIds) {
      const untilMs = this.healthByServer.get(id)?.suspendedUntilMs ?? nowMs;
      firstMs = Math.min(firstMs, Math.max(untilMs, nowMs));
    }
    return Number.isFinite(firstMs) ? firstMs : nowMs;
  }

  /**
   * Records how a call to a server ended.
   *
   * @param serverId - the server
   * @param holder - host of the daemon that made the call
   * @param outcome - how the call ended
   * @param isAboutServer - whether the outcome says something about the server,
   *     and not only about the daemon that made the call
   * @param nowMs - current time, monotonic milliseconds
   * @param startedMs - when the call began, monotonic milliseconds
   */
  record(
    serverId: string,
    holder: string,
    outcome: CallOutcome,
    isAboutServer: boolean,
    nowMs: number,
    startedMs = nowMs,
  ): void {
    if (outcome === CallOutcome.ABANDONED) return;
    const health = this.getHealth(serverId);
    if (outcome === CallOutcome.NOT_EXECUTED) {
      health.suspendedUntilMs = nowMs + FULL_SERVER_SUSPENSION_MS;
      return;
    }
    if (outcome === CallOutcome.WRONG_SERVER) {
      health.suspendedUntilMs = nowMs + WRONG_SERVER_SUSPENSION_MS;
      return;
    }
    const isFailure = FAILURE_OUTCOMES.has(outcome);
    if (isAboutServer) {
      health.failureRate +=
        FAILURE_RATE_SMOOTHING_FACTOR *
        ((isFailure ? 1 : 0) - health.failureRate);
    }
    if (!isFailure) {
      health.consecutiveFailures = 0;
      health.holderSuspensions.delete(holder);
      return;
    }
    if (outcome === CallOutcome.FAILED) return;
    const call = {outcome, startedMs};
    suspendForHolder(health, holder, call, nowMs);
    if (isAboutServer) suspendForAll(health, call, nowMs);
  }

  private getHealth(serverId: string): Health {
    let health = this.healthByServer.get(serverId);
    if (!health) {
      health = {
        failureRate: 0,
        consecutiveFailures: 0,
        suspendedSinceMs: Number.NEGATIVE_INFINITY,
        suspendedUntilMs: Number.NEGATIVE_INFINITY,
        holderSuspensions: new Map(),
      };
      this.healthByServer.set(serverId, health);
    }
    return health;
  }
}

/** A call that failed. */
interface FailedCall {
  outcome: CallOutcome;
  /** When it began, monotonic milliseconds. */
  startedMs: number;
}

/** Whether a call was part of the silence for which its server has been suspended. */
function isOfKnownSilence(
  {outcome, startedMs}: FailedCall,
  suspendedSinceMs: number,
): boolean {
  return outcome === CallOutcome.SILENT && startedMs <= suspendedSinceMs;
}

/** Suspends a server for the holder whose call failed. */
function suspendForHolder(
  {holderSuspensions}: Health,
  holder: string,
  call: FailedCall,
  nowMs: number,
): void {
  const known = holderSuspensions.get(holder);
  if (known && isOfKnownSilence(call, known.sinceMs)) return;
  const failures = (known?.failures ?? 0) + 1;
  const untilMs = nowMs + computeSuspensionMs(failures);
  holderSuspensions.set(holder, {failures, sinceMs: nowMs, untilMs});
}

/**
 * Suspends a server for all holders after {@link FAILURES_TO_SUSPEND}
 * consecutive failures, or at once when the server was unresponsive.
 */
function suspendForAll(health: Health, call: FailedCall, nowMs: number): void {
  if (isOfKnownSilence(call, health.suspendedSinceMs)) return;
  health.consecutiveFailures += 1;
  const isUnresponsive = call.outcome === CallOutcome.SILENT;
  if (!isUnresponsive && health.consecutiveFailures < FAILURES_TO_SUSPEND)
    return;
  health.suspendedSinceMs = nowMs;
  health.suspendedUntilMs =
    nowMs + computeSuspensionMs(health.consecutiveFailures);
}

function computeSuspensionMs(failures: number): number {
  return computeBackoffMs(INITIAL_SUSPENSION_MS, MAX_SUSPENSION_MS, failures);
}
