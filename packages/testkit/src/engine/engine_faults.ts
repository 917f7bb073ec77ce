/** Faults of an engine, and the decision which requests they affect. */
import type {EngineFaults} from '@savoryspur/schema';
import {FaultTable} from '../fault_table.js';

/** Kinds of fault that affect single requests. */
export enum EngineFaultKind {
  /** The answer starts after a delay. */
  LATE = 'late',
  /** The answer is that of another request, and carries the other request's id. */
  CROSSED = 'crossed',
  /** One event of the stream belongs to another request. */
  CROSSED_EVENT = 'crossedEvent',
  /** The answer ends in the middle without a connection error. */
  TRUNCATED = 'truncated',
  /** Each event is sent twice. */
  DUPLICATED = 'duplicated',
  /** Nothing is sent after the middle of the answer; the connection stays open. */
  STALLED = 'stalled',
  /** The connection is reset in the middle of the answer. */
  RESET = 'reset',
  /** The request is refused with 503 and is not run. */
  REFUSED = 'refused',
  /** The request is run and then answered with 500. */
  FAILED = 'failed',
}

/** Delay of a late answer when none is set, milliseconds. */
const DEFAULT_LATE_MS = 2000;

/** Number of events before a fault in the middle of a stream, when no number is set. */
const DEFAULT_AFTER_EVENTS = 4;

/** Faults that affect one request. */
export interface FaultPlan {
  kinds: ReadonlySet<EngineFaultKind>;
  /** Delay of a late answer, milliseconds. */
  lateMs: number;
  /** Number of events before a fault in the middle of a stream. */
  afterEvents: number;
}

/** Plan of a request that no fault affects. */
export const NO_FAULTS: FaultPlan = {
  kinds: new Set(),
  lateMs: 0,
  afterEvents: DEFAULT_AFTER_EVENTS,
};

/** Configurable faults of one engine. */
export class EngineFaultTable {
  /** Whether streams cannot be resumed. */
  forgetStreams = false;
  private readonly table: FaultTable<EngineFaultKind>;
  private lateMs = DEFAULT_LATE_MS;
  private afterEvents = DEFAULT_AFTER_EVENTS;

  /** @param seed - seed of the random decisions */
  constructor(seed: number) {
    this.table = new FaultTable(Object.values(EngineFaultKind), seed);
  }

  /** Sets the faults that are given; the others stay as they are. */
  set(faults: EngineFaults): void {
    this.lateMs = faults.lateMs ?? this.lateMs;
    this.afterEvents = faults.afterEvents ?? this.afterEvents;
    this.forgetStreams = faults.forgetStreams ?? this.forgetStreams;
    this.table.set(faults, faults.seed);
  }

  /** Decides which faults affect the current request, and counts them. */
  takePlan(): FaultPlan {
    const {lateMs, afterEvents} = this;
    return {kinds: this.table.takeAllDecisions(), lateMs, afterEvents};
  }

  /** Reports how many requests each kind of fault has affected. */
  report(): Record<string, number> {
    return this.table.report();
  }
}
