/** Log events of batch jobs, numbers 5000 to 5999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of batch jobs. */
export enum BatchEvent {
  JOB_ACCEPTED = 5001,
  JOB_FINISHED = 5002,
  CHUNK_CLAIMED = 5003,
  CHUNK_LOST = 5004,
  CHUNK_TAKEN_OVER = 5005,
  CHUNK_FAILED = 5006,
  STORE_UNAVAILABLE = 5007,
  STORE_RECOVERED = 5008,
  ITEM_ATTEMPTS_EXHAUSTED = 5009,
  JOB_CANCELLED = 5010,
  ACTIVE_SCAN_FAILED = 5011,
  ROW_INVALID = 5012,
}

/** Catalogue entries of the log events of batch jobs. */
export const BATCH_EVENTS = new Map<number, EventDefinition>([
  [
    BatchEvent.JOB_ACCEPTED,
    {level: EventLevel.INFO, text: 'A batch job was accepted.'},
  ],
  [
    BatchEvent.JOB_FINISHED,
    {level: EventLevel.INFO, text: 'A batch job ended.'},
  ],
  [
    BatchEvent.CHUNK_CLAIMED,
    {level: EventLevel.DEBUG, text: 'A chunk of a batch job was claimed.'},
  ],
  [
    BatchEvent.CHUNK_LOST,
    {
      level: EventLevel.WARN,
      text: 'The lease on a chunk was lost to another host.',
    },
  ],
  [
    BatchEvent.CHUNK_TAKEN_OVER,
    {
      level: EventLevel.WARN,
      text: 'A chunk was taken over because its lease holder stopped renewing the lease.',
    },
  ],
  [
    BatchEvent.CHUNK_FAILED,
    {
      level: EventLevel.ERROR,
      text: 'The work on a chunk failed and the chunk was released.',
      action: 'Look at the step and peer; a host retries the chunk.',
    },
  ],
  [
    BatchEvent.STORE_UNAVAILABLE,
    {
      level: EventLevel.WARN,
      text: 'The storage services are unavailable; results of batch items are kept in memory.',
    },
  ],
  [
    BatchEvent.STORE_RECOVERED,
    {
      level: EventLevel.INFO,
      text: 'The storage services are available again; the results kept in memory are committed.',
    },
  ],
  [
    BatchEvent.ITEM_ATTEMPTS_EXHAUSTED,
    {
      level: EventLevel.WARN,
      text: 'A batch item has used all its attempts and ends as failed.',
    },
  ],
  [
    BatchEvent.JOB_CANCELLED,
    {level: EventLevel.INFO, text: 'A batch job was cancelled.'},
  ],
  [
    BatchEvent.ACTIVE_SCAN_FAILED,
    {level: EventLevel.WARN, text: 'The active batch jobs could not be read.'},
  ],
  [
    BatchEvent.ROW_INVALID,
    {
      level: EventLevel.ERROR,
      text: 'A row of a batch job does not match its schema.',
      action:
        'Check for daemons of another release and for other programs that write rows.',
    },
  ],
]);
