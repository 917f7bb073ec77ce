/** What other packages see of membership and ownership. */
import type {SavoryspurError} from '@savoryspur/common';
import type {KeyTokens, PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

/** The part of all budgets that this host may use for a key now. */
export interface DelegatedShare {
  /** Slots delegated to this host for the key. */
  slots: number;
  /** Slots of this host's zone. */
  zoneSlots: number;
  /** Slots of all zones. */
  fleetSlots: number;
  /**
   * Delegating hosts and their slots, by host and incarnation; a host that
   * newly appears here brings a share that starts empty.
   */
  delegators: ReadonlyMap<string, number>;
}

/** Live view of the fleet from one host. */
export interface MembershipView {
  /** This host. */
  readonly self: PeerInfo;
  /** Lists the daemons of a zone that are believed alive, this one included. */
  listAlive(zone: string): PeerInfo[];
  /** Lists the zones that have daemons believed alive. */
  listZones(): string[];
  /**
   * Computes which daemon of a zone owns a key.
   *
   * @returns the owner, or undefined when the zone has no live daemon
   */
  computeOwner(key: string, zone: string): PeerInfo | undefined;
  /**
   * Orders the daemons of a zone by their claim to own a key.
   *
   * @returns the owner first, then the daemons that own the key next when it
   *     is gone
   */
  listOwners(key: string, zone: string): PeerInfo[];
  /**
   * Gets what is delegated to this host for a key at this moment. Reads the
   * clock, so a host that wakes from a pause sees its lapsed leases as lapsed.
   * A host that leaves gets nothing from the start of the handover.
   */
  getDelegatedShare(key: string): DelegatedShare;
}

/** Part of the time in which the share of a key did not change. */
export interface ShareSegment {
  /** Start on the monotonic clock, milliseconds. */
  fromMs: number;
  /** End on the monotonic clock, milliseconds. */
  toMs: number;
  /** Slots delegated to this host for the key. */
  slots: number;
}

/** What was delegated to this host for a key over some time. */
export interface ShareHistory {
  /** From when on all changes are known, monotonic milliseconds. */
  completeSinceMs: number;
  /** Segments in order, without gaps, from the asked time until now. */
  segments: ShareSegment[];
  /**
   * Time until which the slots of the last segment stay delegated unless the
   * clock passes it, monotonic milliseconds; now when there are none.
   */
  leasedUntilMs: number;
}

/** Past and present shares of this host. */
export interface ShareHistorySource {
  /**
   * Gets what was delegated to this host for a key since a moment.
   *
   * @param key - key of the budget
   * @param sinceMs - start of the time, monotonic milliseconds; undefined for
   *     all that is known
   */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory;
  /**
   * Lists the delegating daemons of a key and their slots, also while this
   * host hands them over.
   *
   * @param key - key of the budget
   */
  listDelegators(key: string): ReadonlyMap<string, number>;
}

/** Keeps the tokens of budgets and hands them over with delegated slots. */
export interface TokenHandover {
  /**
   * Gets when nothing that was given out by now may be used any more,
   * monotonic milliseconds.
   */
  getLastExpiryMs(): number;
  /**
   * Takes the unused tokens out of all budgets.
   *
   * @returns tokens by delegating daemon, host and incarnation
   */
  takeTokens(): Map<string, KeyTokens[]>;
  /** Tells waiting requests that the share is gone. */
  refuseWaiters(): void;
  /**
   * Adds tokens that came with newly delegated slots.
   *
   * @param released - tokens by key
   */
  addTokens(released: readonly KeyTokens[]): void;
}

/** Calls one daemon; every call is bounded in time. */
export interface PeerCaller<TClient> {
  /**
   * Makes one call.
   *
   * @param peer - the daemon to call
   * @param step - step that errors name, such as `limits.acquire`
   * @param run - makes the call with the typed client
   * @param timeoutMs - bound on the call when it is not the usual one, such as
   *     for a call that waits at the other daemon
   */
  request<T>(
    peer: PeerInfo,
    step: string,
    run: (client: TClient, signal: AbortSignal) => Promise<T>,
    timeoutMs?: number,
  ): ResultAsync<T, SavoryspurError>;
}
