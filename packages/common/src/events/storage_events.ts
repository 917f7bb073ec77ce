/** Log events of the storage services, numbers 7000 to 7999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of the storage services. */
export enum StorageEvent {
  CALL_FAILED = 7001,
  WRITE_AMBIGUOUS = 7002,
}

/** Catalogue entries of the log events of the storage services. */
export const STORAGE_EVENTS = new Map<number, EventDefinition>([
  [
    StorageEvent.CALL_FAILED,
    {level: EventLevel.WARN, text: 'A call to a storage service failed.'},
  ],
  [
    StorageEvent.WRITE_AMBIGUOUS,
    {
      level: EventLevel.WARN,
      text: 'The answer to a write to the table service was lost; the rows are read back to learn its outcome.',
    },
  ],
]);
