/** Log events of rate limits, numbers 3000 to 3999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of rate limits. */
export enum LimitsEvent {
  SLOT_CLAIMED = 3001,
  SLOT_LOST = 3002,
  SLOT_RELEASED = 3003,
}

/** Catalogue entries of the log events of rate limits. */
export const LIMITS_EVENTS = new Map<number, EventDefinition>([
  [
    LimitsEvent.SLOT_CLAIMED,
    {level: EventLevel.INFO, text: 'A quota slot of the zone was claimed.'},
  ],
  [
    LimitsEvent.SLOT_LOST,
    {
      level: EventLevel.WARN,
      text: 'A quota slot was taken over by another host.',
    },
  ],
  [
    LimitsEvent.SLOT_RELEASED,
    {level: EventLevel.INFO, text: 'Quota slots of the zone were released.'},
  ],
]);
