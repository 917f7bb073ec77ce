/**
 * Limits the memory that the requests of all callers hold, from their heads on.
 * Load that it addresses: callers who send many bodies, mostly unfinished, so that
 * ordinary requests find no memory.
 */
import type {MemoryBudget, MemoryReservation} from './memory_budget.js';
import {MemoryUse} from './memory_budget.js';

/** Time without a byte after which an unfinished body gives way to any other request, milliseconds: callers abandon a request that was not read within one second. */
const STALL_MS = 1000;

/** Whose memory a request takes. */
export interface CallerIdentity {
  /** IP address of the connection. */
  address: string;
  /** Name of the workspace; an empty string for all callers without a known key. */
  workspace: string;
}

/** Memory of one request. */
export interface CallerClaim {
  /**
   * Changes the size, and ends unfinished bodies of others for it if necessary.
   *
   * @param bytes - whole size that is needed, bytes
   * @param nowMs - time, monotonic milliseconds
   * @returns whether there is enough memory; if not, the size is unchanged
   */
  tryResize(bytes: number, nowMs: number): boolean;
  /** Notes that bytes of the body have arrived. */
  recordProgress(nowMs: number): void;
  /** Notes that the request was read whole, so that it doesn't give way any more. */
  complete(): void;
  /** Returns the memory; does nothing when it was returned before. */
  release(): void;
}

interface Claim extends CallerIdentity {
  bytes: number;
  progressMs: number;
  /** Ends the unfinished request; undefined once it was read whole. */
  end: (() => void) | undefined;
}

/** Memory of the requests of all callers. */
export class CallerMemory {
  private readonly claims = new Set<Claim>();
  private readonly total: MemoryReservation;
  /** Memory by address and by workspace, bytes. */
  private readonly bytesByAddress = new Map<string, number>();
  private readonly bytesByWorkspace = new Map<string, number>();
  private usedBytes = 0;
  private largestRequestBytes = 0;

  /**
   * @param budget - memory budget of this daemon, which shows the use
   * @param limitBytes - memory of all requests, bytes; a single request may take it all
   */
  constructor(
    budget: MemoryBudget,
    private readonly limitBytes: number,
  ) {
    this.total = budget.reserveNow(MemoryUse.REQUEST_BODIES, 0);
  }

  /** Sets the memory of the largest allowed request; the limit is never less, so that such a request is served. */
  setLargestRequest(bytes: number): void {
    this.largestRequestBytes = bytes;
  }

  /**
   * Opens the claim of a request without any memory yet.
   *
   * @param identity - whose request it is
   * @param nowMs - time, monotonic milliseconds
   * @param end - ends the request while it is unfinished; its claim was released
   */
  open(identity: CallerIdentity, nowMs: number, end: () => void): CallerClaim {
    const claim: Claim = {...identity, bytes: 0, progressMs: nowMs, end};
    this.claims.add(claim);
    return {
      tryResize: (bytes, at) => this.tryResize(claim, bytes, at),
      recordProgress: (at) => {
        claim.progressMs = at;
      },
      complete: () => {
        claim.end = undefined;
      },
      release: () => this.release(claim),
    };
  }

  private tryResize(claim: Claim, bytes: number, nowMs: number): boolean {
    if (!this.claims.has(claim)) return false;
    const growth = bytes - claim.bytes;
    while (growth > 0 && !this.isAvailable(claim, growth)) {
      const victim = this.findVictim(claim, growth, nowMs);
      if (!victim) return false;
      const {end} = victim;
      this.release(victim);
      end?.();
    }
    this.setBytes(claim, bytes);
    return true;
  }

  private getLimitBytes(): number {
    return Math.max(this.limitBytes, this.largestRequestBytes);
  }

  /** Memory is available within the limit, and beyond it to a request that is alone. */
  private isAvailable(claim: Claim, growth: number): boolean {
    return (
      this.usedBytes + growth <= this.getLimitBytes() ||
      this.usedBytes === claim.bytes
    );
  }

  /**
   * Finds the unfinished request that gives way: one without progress first, and
   * of these that of the largest holder. One that makes progress gives way only to
   * a holder that has less even then, so that no address and no workspace can use
   * up all memory, and two holders don't end each other's requests in turn.
   */
  private findVictim(
    claim: Claim,
    growth: number,
    nowMs: number,
  ): Claim | undefined {
    let victim: Claim | undefined;
    let victimRank = -Infinity;
    for (const other of this.claims) {
      if (other === claim || !other.end || other.bytes === 0) continue;
      const excess = this.computeExcess(other, claim, growth);
      const isStalled = nowMs - other.progressMs >= STALL_MS;
      if (!isStalled && excess < 0) continue;
      const rank = excess + (isStalled ? this.getLimitBytes() * 2 : 0);
      if (victim && rank <= victimRank) continue;
      victim = other;
      victimRank = rank;
    }
    return victim;
  }

  /** Computes by how much the address or the workspace of a request holds more without it than those of another one that grows, bytes. */
  private computeExcess(other: Claim, claim: Claim, growth: number): number {
    const {bytesByAddress, bytesByWorkspace} = this;
    const byAddress =
      getSum(bytesByAddress, other.address) -
      getSum(bytesByAddress, claim.address);
    const byWorkspace =
      getSum(bytesByWorkspace, other.workspace) -
      getSum(bytesByWorkspace, claim.workspace);
    return Math.max(byAddress, byWorkspace) - other.bytes - growth;
  }

  private release(claim: Claim): void {
    if (!this.claims.has(claim)) return;
    this.setBytes(claim, 0);
    this.claims.delete(claim);
  }

  private setBytes(claim: Claim, bytes: number): void {
    const change = bytes - claim.bytes;
    claim.bytes = bytes;
    this.usedBytes += change;
    this.total.resize(this.usedBytes);
    addTo(this.bytesByAddress, claim.address, change);
    addTo(this.bytesByWorkspace, claim.workspace, change);
  }
}

function getSum(sums: ReadonlyMap<string, number>, key: string): number {
  return sums.get(key) ?? 0;
}

function addTo(sums: Map<string, number>, key: string, change: number): void {
  const sum = getSum(sums, key) + change;
  if (sum === 0) sums.delete(key);
  else sums.set(key, sum);
}
