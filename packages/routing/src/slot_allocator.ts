/** What the daemon sees of routing. */
import type {SavoryspurError} from '@savoryspur/common';
import {
  type PeerInfo,
  SlotUsageEnd,
  type Server,
  type TrafficClass,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

export {SlotUsageEnd};

/** Wish for a place on a backend server. */
export interface SlotRequest {
  requestId: string;
  pool: string;
  workspace: string;
  trafficClass: TrafficClass;
  /** Hash of the start of the prompt; empty when there is none. */
  prefixHash: string;
  /** Hash of workspace and request body; marks requests that crash servers. */
  fingerprint: string;
  /** Longest wait for a place, milliseconds. */
  maxWaitMs: number;
  /** Servers that are not to be chosen again. */
  excludedServers: string[];
  /** Ends the wait. */
  signal?: AbortSignal;
}

/** A place on a backend server, held until it is released. */
export interface SlotGrant {
  grantId: string;
  server: Server;
  /** The daemon that granted the place. */
  owner: PeerInfo;
  /** Aborts when the place is taken back for online work. */
  preemptionSignal: AbortSignal;
}

/** What was observed while a place was held. */
export interface SlotUsageReport {
  end: SlotUsageEnd;
  /** Time to the first token, milliseconds. */
  firstTokenMs?: number;
  /** Mean time between tokens, milliseconds. */
  betweenTokensMs?: number;
}

/** Places requests on backend servers for all hosts together. */
export interface SlotAllocator {
  /**
   * Waits for a place.
   *
   * @returns a placement, or an error with code OVERLOADED, UNAVAILABLE,
   *     QUARANTINED or CANCELLED; nothing has been sent in any of these cases
   */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError>;
  /** Gives a place back; never waits. */
  release(placement: SlotGrant, report: SlotUsageReport): void;
}
