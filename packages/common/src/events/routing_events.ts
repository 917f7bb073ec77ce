/** Numbered events of routing: 4000 to 4999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Event numbers of routing. */
export enum RoutingEvent {
  SERVER_COLD = 4001,
  SERVER_WARM = 4002,
  SERVER_CRASHED = 4003,
  REQUEST_QUARANTINED = 4004,
  QUARANTINE_NOT_STORED = 4005,
  GRANTS_RECOVERED = 4006,
  ORPHANED_GRANTS_RELEASED = 4007,
  SERVER_UNREACHABLE = 4008,
}

/** Texts of the events of routing. */
export const ROUTING_EVENTS = new Map<number, EventDefinition>([
  [
    RoutingEvent.SERVER_COLD,
    {level: EventLevel.INFO, text: 'A backend server counts as cold.'},
  ],
  [
    RoutingEvent.SERVER_WARM,
    {level: EventLevel.INFO, text: 'A backend server counts as warm.'},
  ],
  [
    RoutingEvent.SERVER_CRASHED,
    {
      level: EventLevel.WARN,
      text: 'A backend server broke all its connections.',
    },
  ],
  [
    RoutingEvent.REQUEST_QUARANTINED,
    {
      level: EventLevel.WARN,
      text: 'A request that crashed servers is refused from now on.',
    },
  ],
  [
    RoutingEvent.QUARANTINE_NOT_STORED,
    {
      level: EventLevel.WARN,
      text: 'A quarantined request could not be stored; daemons that start later do not know it.',
    },
  ],
  [
    RoutingEvent.GRANTS_RECOVERED,
    {
      level: EventLevel.INFO,
      text: 'A new owner of a pool knows the places in use.',
    },
  ],
  [
    RoutingEvent.ORPHANED_GRANTS_RELEASED,
    {
      level: EventLevel.INFO,
      text: 'Places of a dead holder, or whose release was lost, were freed.',
    },
  ],
  [
    RoutingEvent.SERVER_UNREACHABLE,
    {
      level: EventLevel.WARN,
      text: 'A backend server does not answer its load reads and gets no work.',
      action: 'Check the server and the network of its availability zone.',
    },
  ],
]);
