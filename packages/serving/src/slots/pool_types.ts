/** Servers, requests and decisions of a slot pool. */
import type {SlotRequest} from './slot_allocator.js';

/** Fields of a backend server that the pool needs. */
export interface PoolServer {
  id: string;
  zone: string;
  softwareVersion: string;
  /** Requests that the server runs at once. */
  slots: number;
  /** End of the server's warm-up, monotonic milliseconds. */
  coldUntilMs: number;
  /** Start of the process according to its entry, Unix milliseconds; compared with earlier entries of the same id only. */
  startedAtMs?: number;
}

/** Slot request of a daemon, as the pool owner gets it. */
export interface PoolRequest extends Omit<SlotRequest, 'service'> {
  /** Id of the request, and of the grant once there is one; chosen by the daemon. */
  grantId: string;
  /** Host of the requesting daemon. */
  holder: string;
  /** Availability zone of the requesting daemon. */
  zone: string;
}

/** Reason of a refusal, as it is logged. */
export enum RefusalReason {
  NO_SERVER = 'no server of the service accepts new work',
  NO_SERVER_OF_VERSION = 'no server of the software version that began the stream accepts new work',
  TOO_LATE = 'the expected wait is longer than the caller has time for',
  NO_SLOT_IN_TIME = 'no slot became free in time',
}

/** Final decision on a request: a granted slot or a refusal. */
export type FinalDecision =
  | {kind: 'granted'; serverId: string}
  | {kind: 'refused'; reason: string; retryAfterMs: number};

/** Decision on a new request, which may also be queued. */
export type PoolDecision = FinalDecision | {kind: 'queued'};

/** A formerly queued request with the decision on it. */
export interface DecidedRequest {
  request: PoolRequest;
  decision: FinalDecision;
}

/** Suspension of a server after a failed call. */
export interface Suspension {
  serverId: string;
  /** Host of the daemon whose call failed. */
  holder: string;
  /** Whether the server gets no work of other daemons either. */
  isForAll: boolean;
}
