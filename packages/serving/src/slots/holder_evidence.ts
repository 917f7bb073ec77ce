/**
 * Decides whether a failed call says something about its server or only about
 * the daemon that made it: a daemon may be cut off from servers that serve all
 * others. Performs no I/O; the current time is an argument of each call.
 */
import {CallOutcome} from '@savoryspur/schema';

/** Number of servers at which the calls of a daemon must have failed, with no success since, for its failures to say nothing about a server. */
const FAILING_SERVERS_TO_DOUBT = 2;

/** Age up to which a success of another daemon shows that a server works, milliseconds. */
const MAX_SUCCESS_AGE_MS = 300;

/** Outcomes of calls that got no usable answer, for which the network may be the reason. */
const NETWORK_FAILURES = new Set([
  CallOutcome.BROKEN,
  CallOutcome.SILENT,
  CallOutcome.UNREACHABLE,
]);

/** Evidence of the calls of all holders of a pool. */
export class HolderEvidence {
  /** Servers at which the calls of a holder have failed since its last success, by holder. */
  private readonly failingServers = new Map<string, Set<string>>();
  /** Times of the latest success by server and holder, monotonic milliseconds. */
  private readonly successes = new Map<string, Map<string, number>>();

  /** Drops what calls have shown of all servers except the given ones. */
  keepOnly(serverIds: ReadonlySet<string>): void {
    for (const id of this.successes.keys()) {
      if (!serverIds.has(id)) this.successes.delete(id);
    }
    for (const [holder, failing] of this.failingServers) {
      for (const id of failing) {
        if (!serverIds.has(id)) failing.delete(id);
      }
      if (failing.size === 0) this.failingServers.delete(holder);
    }
  }

  /** Drops what the calls of a holder have shown. */
  dropHolder(holder: string): void {
    this.failingServers.delete(holder);
    for (const byHolder of this.successes.values()) byHolder.delete(holder);
  }

  /**
   * Records how a call ended.
   *
   * @param serverId - the server that was called
   * @param holder - host of the daemon that made the call
   * @param outcome - how the call ended
   * @param grantedMs - when the slot of the call was granted, monotonic milliseconds
   * @param nowMs - current time, monotonic milliseconds
   * @returns whether the outcome says something about the server
   */
  record(
    serverId: string,
    holder: string,
    outcome: CallOutcome,
    grantedMs: number,
    nowMs: number,
  ): boolean {
    if (outcome === CallOutcome.SUCCEEDED) {
      this.failingServers.delete(holder);
      const byHolder = this.successes.get(serverId) ?? new Map();
      this.successes.set(serverId, byHolder.set(holder, nowMs));
      return true;
    }
    if (!NETWORK_FAILURES.has(outcome)) return true;
    const failing = this.failingServers.get(holder) ?? new Set();
    this.failingServers.set(holder, failing.add(serverId));
    if (failing.size >= FAILING_SERVERS_TO_DOUBT) return false;
    const sinceMs = Math.min(grantedMs, nowMs - MAX_SUCCESS_AGE_MS);
    return !this.hasOtherSuccess(serverId, holder, sinceMs);
  }

  /** Whether a call of another holder to a server has succeeded since a time, monotonic milliseconds. */
  private hasOtherSuccess(
    serverId: string,
    holder: string,
    sinceMs: number,
  ): boolean {
    for (const [other, successMs] of this.successes.get(serverId) ?? []) {
      if (other !== holder && successMs > sinceMs) return true;
    }
    return false;
  }
}
