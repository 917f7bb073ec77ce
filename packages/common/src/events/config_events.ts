/** Numbered events of configuration: 6000 to 6999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Event numbers of configuration. */
export enum ConfigEvent {
  VERSION_APPLIED = 6001,
  VERSION_READ_FAILING = 6002,
  ORDER_APPLIED = 6003,
  ORDER_REFUSED = 6004,
  ORDER_FAILED = 6005,
  ENGINE_DRIFT_CORRECTED = 6006,
}

/** Texts of the events of configuration. */
export const CONFIG_EVENTS = new Map<number, EventDefinition>([
  [
    ConfigEvent.VERSION_APPLIED,
    {level: EventLevel.INFO, text: 'A configuration version is in force.'},
  ],
  [
    ConfigEvent.VERSION_READ_FAILING,
    {
      level: EventLevel.WARN,
      text: 'The configuration version could not be read for some time.',
    },
  ],
  [
    ConfigEvent.ORDER_APPLIED,
    {
      level: EventLevel.INFO,
      text: 'An engine has the state that operators ordered.',
    },
  ],
  [
    ConfigEvent.ORDER_REFUSED,
    {
      level: EventLevel.WARN,
      text: 'An engine refused an order because it has seen a newer one.',
      action:
        'Nothing, unless it goes on: then see who else orders the engine.',
    },
  ],
  [
    ConfigEvent.ORDER_FAILED,
    {
      level: EventLevel.WARN,
      text: 'An order could not be brought into force and is tried again.',
      action:
        'See whether the engine answers and the weight store has the model.',
    },
  ],
  [
    ConfigEvent.ENGINE_DRIFT_CORRECTED,
    {
      level: EventLevel.WARN,
      text: 'An engine had left the state that operators ordered and is ordered back.',
    },
  ],
]);
