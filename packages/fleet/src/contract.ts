/** Interfaces of membership and ownership that other packages use. */
import type {SavoryspurError} from '@savoryspur/common';
import type {KeyTokens, PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

/** Share of the fleet-wide quota that this host may use for a key now. */
export interface DelegatedShare {
  /** Quota slots delegated to this host for the key. */
  slots: number;
  /** Quota slots of this host's zone. */
  zoneSlots: number;
  /** Quota slots of all zones. */
  fleetSlots: number;
  /**
   * Quota slots by delegating daemon, as `host:incarnation`. The share of a
   * daemon that newly appears here starts empty.
   */
  delegators: ReadonlyMap<string, number>;
}

/** Membership of the fleet as one host sees it at present. */
export interface MembershipView {
  /** This host. */
  readonly self: PeerInfo;
  /**
   * Lists the daemons of a zone that are considered alive, this one included.
   */
  listAlive(zone: string): PeerInfo[];
  /** Lists the zones that have daemons considered alive. */
  listZones(): string[];
  /**
   * Computes which daemon of a zone owns a key by rendezvous hashing.
   *
   * @returns the owner, or undefined when the zone has no live daemon
   */
  computeOwner(key: string, zone: string): PeerInfo | undefined;
  /**
   * Lists the daemons of a zone in the order of their rank for a key.
   *
   * @returns the owner first, then the daemons that would own the key next
   */
  listOwners(key: string, zone: string): PeerInfo[];
  /**
   * Gets the share that is delegated to this host for a key now. Reads the
   * clock, so a host that resumes after a pause does not use leases that
   * expired meanwhile. A host that stops has no share from the start of the
   * handover.
   */
  getDelegatedShare(key: string): DelegatedShare;
}

/** Time span in which the share of a key did not change. */
export interface ShareSegment {
  /** Start on the monotonic clock, milliseconds. */
  fromMs: number;
  /** End on the monotonic clock, milliseconds. */
  toMs: number;
  /** Quota slots delegated to this host for the key. */
  slots: number;
}

/** Quota slots delegated to this host for a key over time. */
export interface ShareHistory {
  /** Time from which on the history is complete, monotonic milliseconds. */
  completeSinceMs: number;
  /** Consecutive segments without gaps, from the requested time until now. */
  segments: ShareSegment[];
  /**
   * Time until which none of the leases behind the last segment expires,
   * monotonic milliseconds; the current time when there are none.
   */
  leasedUntilMs: number;
}

/** Source of the present and past shares of this host. */
export interface ShareHistorySource {
  /**
   * Gets the share of this host for a key since a point in time.
   *
   * @param key - quota key
   * @param sinceMs - start of the history, monotonic milliseconds; undefined
   *     for the whole known history
   */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory;
  /**
   * Lists the daemons that delegate to this host for a key and their quota
   * slots, also while this host hands the delegations over.
   *
   * @param key - quota key
   * @returns quota slots by delegating daemon, as `host:incarnation`
   */
  listDelegators(key: string): ReadonlyMap<string, number>;
}

/** Handover of token buckets along with delegated quota slots. */
export interface TokenHandover {
  /**
   * Gets when the last grant or loan made by now expires, monotonic
   * milliseconds.
   */
  getLastExpiryMs(): number;
  /**
   * Takes the unused tokens out of all buckets.
   *
   * @returns tokens by delegating daemon, as `host:incarnation`
   */
  takeTokens(): Map<string, KeyTokens[]>;
  /** Refuses the waiting requests after the share was released. */
  refuseWaiters(): void;
  /**
   * Adds the tokens that a stopping daemon released with quota slots that are
   * now delegated to this one.
   *
   * @param released - tokens by quota key
   */
  addTokens(released: readonly KeyTokens[]): void;
}

/** Calls other daemons; every call has a time limit. */
export interface PeerCaller<TClient> {
  /**
   * Makes one call to a daemon.
   *
   * @param peer - the daemon to call
   * @param step - step that an error reports, such as `limits.acquire`
   * @param run - makes the call with the typed client
   * @param timeoutMs - time limit that replaces the default, such as for a call
   *     that waits at the other daemon, milliseconds
   */
  request<T>(
    peer: PeerInfo,
    step: string,
    run: (client: TClient, signal: AbortSignal) => Promise<T>,
    timeoutMs?: number,
  ): ResultAsync<T, SavoryspurError>;
}
