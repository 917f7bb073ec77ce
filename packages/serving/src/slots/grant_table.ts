/**
 * Places in use, indexed by what decisions ask of them: a pool at its busiest
 * decides some thousand times a second over some thousand places.
 */

/** Part of the usual hold time for which a request is expected to hold its place at least, however long it has held it. */
const OVERDUE_PART = 0.2;

/** A place in use. */
export interface Grant {
  grantId: string;
  holder: string;
  /** Availability zone of the holder; unknown for grants of a former owner. */
  zone?: string;
  serverId: string;
  isBatch: boolean;
  workspace: string;
  dueMs: number;
  grantedMs: number;
  isYielding: boolean;
}

/** Places in use of one pool. */
export class GrantTable {
  /** Online grants, the oldest first. */
  private readonly online = new Map<string, Grant>();
  private readonly batch = new Map<string, Grant>();
  private readonly byHolder = new Map<string, Map<string, Grant>>();
  private readonly onServer = new Map<string, number>();
  private yielding = 0;

  /** Counts all grants. */
  count(): number {
    return this.online.size + this.batch.size;
  }

  /** Counts the grants of batch items. */
  countBatch(): number {
    return this.batch.size;
  }

  /** Counts the batch items that were asked to give way. */
  countYielding(): number {
    return this.yielding;
  }

  /** Counts the grants on a server. */
  countOn(serverId: string): number {
    return this.onServer.get(serverId) ?? 0;
  }

  /** Finds a grant. */
  get(grantId: string): Grant | undefined {
    return this.online.get(grantId) ?? this.batch.get(grantId);
  }

  /** Whether a grant is known. */
  has(grantId: string): boolean {
    return this.get(grantId) !== undefined;
  }

  /** Lists the grants of a holder. */
  listOf(holder: string): Grant[] {
    return [...(this.byHolder.get(holder)?.values() ?? [])];
  }

  /** Lists the grants of batch items. */
  listBatch(): Iterable<Grant> {
    return this.batch.values();
  }

  /** Adds a grant; grants are added in the order of their times. */
  add(grant: Grant): void {
    const {grantId, holder, serverId} = grant;
    (grant.isBatch ? this.batch : this.online).set(grantId, grant);
    const held = this.byHolder.get(holder) ?? new Map<string, Grant>();
    this.byHolder.set(holder, held.set(grantId, grant));
    this.onServer.set(serverId, this.countOn(serverId) + 1);
  }

  /** Removes a grant. */
  remove(grant: Grant): void {
    const {grantId, holder, serverId} = grant;
    (grant.isBatch ? this.batch : this.online).delete(grantId);
    const held = this.byHolder.get(holder);
    held?.delete(grantId);
    if (held?.size === 0) this.byHolder.delete(holder);
    if (grant.isYielding) this.yielding -= 1;
    const left = this.countOn(serverId) - 1;
    if (left > 0) this.onServer.set(serverId, left);
    else this.onServer.delete(serverId);
  }

  /** Notes that a batch item was asked to give way. */
  markYielding(grant: Grant): void {
    if (grant.isYielding) return;
    grant.isYielding = true;
    this.yielding += 1;
  }

  /**
   * Estimates when a number of online grants have ended; the oldest end first.
   *
   * @param index - how many grants end before
   * @param holdMs - usual hold time, milliseconds
   * @param nowMs - monotonic milliseconds
   * @returns milliseconds from now; undefined without online grants
   */
  estimateEnd(
    index: number,
    holdMs: number,
    nowMs: number,
  ): number | undefined {
    const count = this.online.size;
    if (count === 0) return undefined;
    const turnsMs = Math.floor(index / count) * holdMs;
    const leastMs = holdMs * OVERDUE_PART;
    let toPass = index % count;
    for (const {grantedMs} of this.online.values()) {
      toPass -= 1;
      if (toPass >= 0) continue;
      return turnsMs + Math.max(grantedMs + holdMs - nowMs, leastMs);
    }
    return turnsMs + holdMs;
  }
}
