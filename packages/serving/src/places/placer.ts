/** What work asks of whoever gives out places. */
import type {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../backend_server.js';

/** Work that needs a place on a server of a service. Times are monotonic milliseconds. */
export interface PlaceWork {
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
export interface GrantedPlace {
  kind: 'placed';
  server: BackendServer;
  /** Daemon that granted the place; this one when it decided alone. */
  placedBy: string;
  /** Aborted when a batch item has to give the place back. */
  yielded: AbortSignal;
  /** Gives the place back; later calls do nothing. */
  release(outcome: CallOutcome): void;
}

/** Outcome of asking for a place. */
export type Placement =
  GrantedPlace | {kind: 'refused'; reason: string; retryAfterMs: number};

/** Gives out places. */
export interface Placer {
  /** Waits for a place or a refusal. */
  acquire(work: PlaceWork, signal: AbortSignal): Promise<Placement>;
}
