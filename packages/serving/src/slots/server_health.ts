/** What the outcomes of calls say of servers. */
import {computeBackoff} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';

/** First suspension of a server, milliseconds; doubles up to the longest. */
const FIRST_SUSPENSION_MS = 250;

/** Longest suspension, milliseconds: a server that is back waits no longer. */
const MAX_SUSPENSION_MS = 1000;

/** Suspension of a server that had no free place, milliseconds. */
const FULL_SUSPENSION_MS = 30;

/** Suspension of a server whose address another one has, milliseconds: its entry is about to go. */
const WRONG_SERVER_SUSPENSION_MS = 3000;

/** Weight of the newest outcome in the failure rate. */
const FAILURE_WEIGHT = 0.15;

/** Failure rate below which a server counts as sound. */
const SOUND_RATE = 0.1;

/** How much of a server's load its failure rate counts as. */
const PENALTY_FACTOR = 1.5;

/** Outcomes that suspend a server for all holders once they come in a row. */
const STRIKES_TO_SUSPEND = 2;

/** What is known of one server. */
interface Health {
  failureRate: number;
  strikes: number;
  suspendedUntilMs: number;
  /** Suspension for single holders, such as on the far side of a cut. */
  byHolder: Map<string, number>;
}

/** Outcomes that tell against a server. */
const FAILURES = new Set([
  CallOutcome.BROKEN,
  CallOutcome.FAILED,
  CallOutcome.SILENT,
  CallOutcome.UNREACHABLE,
]);

/** Health of the servers of a pool. */
export class ServerHealth {
  private readonly servers = new Map<string, Health>();

  /** Forgets servers that are gone. */
  keep(serverIds: ReadonlySet<string>): void {
    for (const id of this.servers.keys()) {
      if (!serverIds.has(id)) this.servers.delete(id);
    }
  }

  /** Whether a holder may send to a server. */
  isUsable(serverId: string, holder: string, nowMs: number): boolean {
    const health = this.servers.get(serverId);
    if (!health) return true;
    if (health.suspendedUntilMs > nowMs) return false;
    return (health.byHolder.get(holder) ?? 0) <= nowMs;
  }

  /** Gets the share of load that a server counts as higher for its failures. */
  getPenalty(serverId: string): number {
    const rate = this.servers.get(serverId)?.failureRate ?? 0;
    return rate < SOUND_RATE ? 0 : rate * PENALTY_FACTOR;
  }

  /** Gets when the first of some suspended servers is tried again, monotonic milliseconds. */
  getNextTrialMs(serverIds: Iterable<string>, nowMs: number): number {
    let next = Number.POSITIVE_INFINITY;
    for (const id of serverIds) {
      const untilMs = this.servers.get(id)?.suspendedUntilMs ?? nowMs;
      next = Math.min(next, Math.max(untilMs, nowMs));
    }
    return Number.isFinite(next) ? next : nowMs;
  }

  /**
   * Takes in how a call ended.
   *
   * @param serverId - the server
   * @param holder - the daemon that called
   * @param outcome - how the call ended
   * @param nowMs - monotonic milliseconds
   */
  record(
    serverId: string,
    holder: string,
    outcome: CallOutcome,
    nowMs: number,
  ): void {
    if (outcome === CallOutcome.ABANDONED) return;
    const health = this.getHealth(serverId);
    if (outcome === CallOutcome.NOT_EXECUTED) {
      health.suspendedUntilMs = nowMs + FULL_SUSPENSION_MS;
      return;
    }
    if (outcome === CallOutcome.WRONG_SERVER) {
      health.suspendedUntilMs = nowMs + WRONG_SERVER_SUSPENSION_MS;
      return;
    }
    const isFailure = FAILURES.has(outcome);
    health.failureRate +=
      FAILURE_WEIGHT * ((isFailure ? 1 : 0) - health.failureRate);
    if (!isFailure) {
      health.strikes = 0;
      health.byHolder.delete(holder);
      return;
    }
    if (outcome === CallOutcome.FAILED) return;
    this.suspend(health, holder, outcome, nowMs);
  }

  private suspend(
    health: Health,
    holder: string,
    outcome: CallOutcome,
    nowMs: number,
  ): void {
    health.strikes += 1;
    const suspensionMs = computeBackoff(
      FIRST_SUSPENSION_MS,
      MAX_SUSPENSION_MS,
      health.strikes,
    );
    health.byHolder.set(holder, nowMs + suspensionMs);
    const isCertain = outcome === CallOutcome.SILENT;
    if (!isCertain && health.strikes < STRIKES_TO_SUSPEND) return;
    health.suspendedUntilMs = nowMs + suspensionMs;
  }

  private getHealth(serverId: string): Health {
    let health = this.servers.get(serverId);
    if (!health) {
      health = {
        failureRate: 0,
        strikes: 0,
        suspendedUntilMs: Number.NEGATIVE_INFINITY,
        byHolder: new Map(),
      };
      this.servers.set(serverId, health);
    }
    return health;
  }
}
