/** Log events of membership and peers, numbers 2000 to 2999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of membership and peers. */
export enum FleetEvent {
  PEER_ALIVE = 2001,
  PEER_SUSPECTED = 2002,
  PAUSE_DETECTED = 2003,
  TASK_FAILED = 2004,
}

/** Catalogue entries of the log events of membership and peers. */
export const FLEET_EVENTS = new Map<number, EventDefinition>([
  [
    FleetEvent.PEER_ALIVE,
    {level: EventLevel.INFO, text: 'A peer answers heartbeats again.'},
  ],
  [
    FleetEvent.PEER_SUSPECTED,
    {level: EventLevel.WARN, text: 'A peer stopped answering heartbeats.'},
  ],
  [
    FleetEvent.PAUSE_DETECTED,
    {
      level: EventLevel.WARN,
      text: 'The process was paused for so long that its quota slots are read again before their next use.',
    },
  ],
  [
    FleetEvent.TASK_FAILED,
    {
      level: EventLevel.ERROR,
      text: 'A periodic task of membership failed; it runs again after its period.',
      action: 'Report the reason as a defect.',
    },
  ],
]);
