/** Numbered events of the platform: 7000 to 7999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Event numbers of the platform. */
export enum StorageEvent {
  CALL_FAILED = 7001,
  WRITE_AMBIGUOUS = 7002,
}

/** Texts of the events of the platform. */
export const STORAGE_EVENTS = new Map<number, EventDefinition>([
  [
    StorageEvent.CALL_FAILED,
    {level: EventLevel.WARN, text: 'A call to the platform failed.'},
  ],
  [
    StorageEvent.WRITE_AMBIGUOUS,
    {
      level: EventLevel.WARN,
      text: 'A write to the table service had no answer and is read back.',
    },
  ],
]);
