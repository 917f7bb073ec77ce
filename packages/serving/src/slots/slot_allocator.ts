/** What work asks of whoever gives out places. */
import type {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';

/** Work that needs a place on a server of a service. Times are monotonic milliseconds. */
export interface SlotRequest {
  service: string;
  isBatch: boolean;
  workspace: string;
  priority: number;
  /** Online: last start that is on time; batch: when the work is due. */
  dueMs: number;
  /** Until when a refusal counts as prompt. */
  refuseByMs: number;
  /** End of the wait. */
  giveUpMs: number;
  prefix: readonly string[];
  /** Servers that were tried already. */
  excluded: readonly string[];
  /** Zones whose servers are not reached from here. */
  avoidedZones?: readonly string[];
}

/** A place that was granted. */
export interface SlotGrant {
  kind: 'placed';
  server: BackendServer;
  /** Daemon that granted the place; this one when it decided alone. */
  grantedBy: string;
  /** Aborted when a batch item has to give the place back. */
  preemptionSignal: AbortSignal;
  /** Gives the place back; later calls do nothing. */
  release(outcome: CallOutcome): void;
}

/** Outcome of asking for a place. */
export type SlotResult =
  SlotGrant | {kind: 'refused'; reason: string; retryAfterMs: number};

/** Gives out places. */
export interface SlotAllocator {
  /** Waits for a place or a refusal. */
  acquire(work: SlotRequest, signal: AbortSignal): Promise<SlotResult>;
}
