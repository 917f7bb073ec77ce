/** Log events of the configuration and of orders to engines, numbers 6000 to 6999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of the configuration. */
export enum ConfigEvent {
  VERSION_APPLIED = 6001,
  VERSION_READ_FAILING = 6002,
  ORDER_APPLIED = 6003,
  ORDER_REFUSED = 6004,
  ORDER_FAILED = 6005,
  ENGINE_DRIFT_CORRECTED = 6006,
}

/** Catalogue entries of the log events of the configuration. */
export const CONFIG_EVENTS = new Map<number, EventDefinition>([
  [
    ConfigEvent.VERSION_APPLIED,
    {level: EventLevel.INFO, text: 'A new configuration version is in force.'},
  ],
  [
    ConfigEvent.VERSION_READ_FAILING,
    {
      level: EventLevel.WARN,
      text: 'The configuration version cannot be read; the version in force may be stale.',
    },
  ],
  [
    ConfigEvent.ORDER_APPLIED,
    {
      level: EventLevel.INFO,
      text: 'An engine has reached the desired state that operators ordered.',
    },
  ],
  [
    ConfigEvent.ORDER_REFUSED,
    {
      level: EventLevel.WARN,
      text: 'An engine refused an order because it has already received a newer one.',
      action:
        'Nothing, unless the refusals continue: then find out who else sends orders to the engine.',
    },
  ],
  [
    ConfigEvent.ORDER_FAILED,
    {
      level: EventLevel.WARN,
      text: 'An order to an engine failed and is retried.',
      action:
        'Check that the engine answers and that the weight store has the model.',
    },
  ],
  [
    ConfigEvent.ENGINE_DRIFT_CORRECTED,
    {
      level: EventLevel.WARN,
      text: 'An engine had drifted from the desired state that operators ordered; the order is sent again.',
    },
  ],
]);
