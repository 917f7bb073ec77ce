/**
 * Interface of the component that gives out concurrency slots. A slot is the
 * right to run one request on one backend server.
 */
import type {CallOutcome, CallTimes} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';

/**
 * Request for a slot on any backend server of a service, for an online request
 * or a batch item. Times are monotonic milliseconds.
 */
export interface SlotRequest {
  service: string;
  /** Name of the route; absent in requests of daemons of an earlier release. */
  route?: string;
  isBatch: boolean;
  /** Whether the request may run more than once; absent in requests of daemons of an earlier release. */
  isRetryable?: boolean;
  workspace: string;
  /** Priority; 0 is the most urgent. */
  priority: number;
  /** Online: when the caller stops waiting; batch: due time of the item. */
  dueMs: number;
  /** Deadline of the wait; a request that is still queued then is refused. Online: the caller leaves then unless its answer has begun. */
  waitDeadlineMs: number;
  /** Online: when the answer must be complete; unknown in requests of daemons of an earlier release. */
  answerDeadlineMs?: number;
  /** When the caller stops waiting for an answer; absent in requests of daemons of an earlier release. */
  callerDeadlineMs?: number;
  /** Software version that the server must have, as it began the stream; any when undefined. */
  softwareVersion?: string;
  /** Ids of the shared prompt parts, in order. */
  prefix: readonly string[];
  /** Ids of the servers that were already tried or that this daemon can't reach. */
  excluded: readonly string[];
  /** Zones whose servers this daemon can't reach. */
  unreachableZones?: readonly string[];
  /** Ids of the servers that this daemon calls through another one. */
  forwardedServerIds?: readonly string[];
  /** Zones whose servers this daemon calls through another one. */
  forwardedZones?: readonly string[];
}

/** Whether a server has the software version that a slot request asks for. */
export function isOfVersion(
  server: {softwareVersion: string},
  request: Pick<SlotRequest, 'softwareVersion'>,
): boolean {
  const {softwareVersion} = request;
  return (
    softwareVersion === undefined || server.softwareVersion === softwareVersion
  );
}

/** A granted slot, held until it is released. */
export interface SlotGrant {
  kind: 'placed';
  server: BackendServer;
  /** Host of the daemon that granted the slot: the pool owner, or this daemon when it decided standalone. */
  grantedBy: string;
  /** Aborted when the batch item that uses the slot is preempted. */
  preemptionSignal: AbortSignal;
  /**
   * Releases the slot; repeated calls do nothing.
   *
   * @param outcome - how the call to the server ended
   * @param times - times of the call, if there was one
   */
  release(outcome: CallOutcome, times?: CallTimes): void;
}

/** Result of a slot request: a grant or a refusal. */
export type SlotResult =
  SlotGrant | {kind: 'refused'; reason: string; retryAfterMs: number};

/** Gives out slots on backend servers. */
export interface SlotAllocator {
  /**
   * Waits until a slot is granted or the request is refused.
   *
   * @param request - service, priority and deadlines
   * @param signal - ends the wait; the request is then refused
   */
  acquire(request: SlotRequest, signal: AbortSignal): Promise<SlotResult>;
}
