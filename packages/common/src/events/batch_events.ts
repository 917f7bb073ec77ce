/** Numbered events of batch jobs: 5000 to 5999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Event numbers of batch jobs. */
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

/** Texts of the events of batch jobs. */
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
    {level: EventLevel.DEBUG, text: 'A chunk was claimed.'},
  ],
  [
    BatchEvent.CHUNK_LOST,
    {level: EventLevel.WARN, text: 'A chunk lease was lost to another host.'},
  ],
  [
    BatchEvent.CHUNK_TAKEN_OVER,
    {
      level: EventLevel.WARN,
      text: 'A chunk was taken over from a holder that stopped renewing.',
    },
  ],
  [
    BatchEvent.CHUNK_FAILED,
    {
      level: EventLevel.ERROR,
      text: 'A chunk could not be run and was given back.',
      action:
        'Look at the step and peer; the chunk is tried again by some host.',
    },
  ],
  [
    BatchEvent.STORE_UNAVAILABLE,
    {
      level: EventLevel.WARN,
      text: 'The platform does not answer; results of batch items are held in memory.',
    },
  ],
  [
    BatchEvent.STORE_RECOVERED,
    {
      level: EventLevel.INFO,
      text: 'The platform answers again; held results are committed.',
    },
  ],
  [
    BatchEvent.ITEM_ATTEMPTS_EXHAUSTED,
    {
      level: EventLevel.WARN,
      text: 'A batch item reached its last attempt and ends as failed.',
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
      action: 'Check for daemons of another release or writes by others.',
    },
  ],
]);
