/** Interface of routing for the other parts of the daemon. */
import type {SavoryspurError} from '@savoryspur/common';
import {
  type PeerInfo,
  SlotUsageEnd,
  type Server,
  type TrafficClass,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

export {SlotUsageEnd};

/**
 * Request for a concurrency slot: the right to run one request on one backend
 * server.
 */
export interface SlotRequest {
  requestId: string;
  pool: string;
  workspace: string;
  trafficClass: TrafficClass;
  /** Hash of the start of the prompt; empty when there is none. */
  prefixHash: string;
  /**
   * Hash of workspace and request body; identifies requests that crash servers.
   */
  fingerprint: string;
  /** Longest wait for a slot, milliseconds. */
  maxWaitMs: number;
  /** Ids of servers that must not be selected again. */
  excludedServers: string[];
  /** Ends the wait. */
  signal?: AbortSignal;
}

/** A concurrency slot on a backend server, held until it is released. */
export interface SlotGrant {
  grantId: string;
  server: Server;
  /** The daemon that granted the slot. */
  owner: PeerInfo;
  /** Aborted when the slot is preempted for online work. */
  preemptionSignal: AbortSignal;
}

/** What was observed while a slot was in use. */
export interface SlotUsageReport {
  end: SlotUsageEnd;
  /** Time to the first token, milliseconds. */
  firstTokenMs?: number;
  /** Mean token interval, milliseconds. */
  betweenTokensMs?: number;
}

/**
 * Allocates the concurrency slots of backend servers to requests, across all
 * hosts.
 */
export interface SlotAllocator {
  /**
   * Waits for a slot.
   *
   * @returns a grant, or an error with code OVERLOADED, UNAVAILABLE,
   *     QUARANTINED or CANCELLED; nothing has been sent in any of these cases
   */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError>;
  /** Releases a slot without waiting for its owner. */
  release(grant: SlotGrant, report: SlotUsageReport): void;
}
