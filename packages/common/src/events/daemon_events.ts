/** Log events of the daemon, numbers 1000 to 1999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of the daemon. */
export enum DaemonEvent {
  STARTED = 1001,
  DRAINING = 1002,
  STOPPED = 1003,
  REQUEST_FAILED = 1004,
  SETTINGS_REJECTED = 1005,
}

/** Catalogue entries of the log events of the daemon. */
export const DAEMON_EVENTS = new Map<number, EventDefinition>([
  [
    DaemonEvent.STARTED,
    {level: EventLevel.INFO, text: 'The daemon has started and is ready.'},
  ],
  [
    DaemonEvent.DRAINING,
    {
      level: EventLevel.INFO,
      text: 'The daemon is draining: it takes no new work and finishes its current work.',
    },
  ],
  [
    DaemonEvent.STOPPED,
    {level: EventLevel.INFO, text: 'The daemon has stopped.'},
  ],
  [
    DaemonEvent.REQUEST_FAILED,
    {level: EventLevel.WARN, text: 'A request ended with an error.'},
  ],
  [
    DaemonEvent.SETTINGS_REJECTED,
    {level: EventLevel.ERROR, text: 'The settings file was rejected.'},
  ],
]);
