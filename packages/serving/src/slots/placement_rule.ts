/** Interface of the rules that restrict and weigh the servers which a slot pool grants. */
import type {CallOutcome, CallTimes} from '@savoryspur/schema';
import type {Grant} from './grant_table.js';
import type {PoolRequest, PoolServer} from './pool_types.js';

/** A server that a request may get a slot on. */
export interface PlacementCandidate {
  server: PoolServer;
  /** Slots of the server in use. */
  used: number;
}

/** Rule of one pool. It performs no I/O; times are monotonic milliseconds. */
export interface PlacementRule {
  /** Replaces the servers that accept new work. */
  setServers(servers: readonly PoolServer[], nowMs: number): void;
  /** Whether a request may get a slot on a server now. */
  isAllowed(
    candidate: PlacementCandidate,
    request: PoolRequest,
    nowMs: number,
  ): boolean;
  /** Gets the load that is added to a server in the choice among the allowed ones, as a fraction of its slots; may be negative. */
  getLoadPenalty(
    candidate: PlacementCandidate,
    request: PoolRequest,
    nowMs: number,
  ): number;
  /** Records that a slot was granted. */
  recordGrant(grant: Grant, server: PoolServer, nowMs: number): void;
  /**
   * Records that a slot was released.
   *
   * @param grant - the grant of the slot
   * @param outcome - how the call to the server ended
   * @param times - times of the call; absent when the holder did not report any
   * @param nowMs - current time
   */
  recordRelease(
    grant: Grant,
    outcome: CallOutcome,
    times: CallTimes | undefined,
    nowMs: number,
  ): void;
  /**
   * Records that a server gets no work of any daemon for a time.
   *
   * @param serverId - the server
   * @param outcome - outcome of the call for which it was suspended
   * @param nowMs - current time
   */
  recordSuspension?(
    serverId: string,
    outcome: CallOutcome,
    nowMs: number,
  ): void;
}
