/** Log events of routing, numbers 4000 to 4999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of routing. */
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

/** Catalogue entries of the log events of routing. */
export const ROUTING_EVENTS = new Map<number, EventDefinition>([
  [
    RoutingEvent.SERVER_COLD,
    {
      level: EventLevel.INFO,
      text: 'A backend server is cold; its warm-up starts.',
    },
  ],
  [
    RoutingEvent.SERVER_WARM,
    {level: EventLevel.INFO, text: 'A backend server is warm.'},
  ],
  [
    RoutingEvent.SERVER_CRASHED,
    {
      level: EventLevel.WARN,
      text: 'A backend server crashed: all its connections broke.',
    },
  ],
  [
    RoutingEvent.REQUEST_QUARANTINED,
    {
      level: EventLevel.WARN,
      text: 'A request that crashed backend servers is quarantined and refused from now on.',
    },
  ],
  [
    RoutingEvent.QUARANTINE_NOT_STORED,
    {
      level: EventLevel.WARN,
      text: 'A quarantined request could not be stored; daemons that start later will not refuse the request.',
    },
  ],
  [
    RoutingEvent.GRANTS_RECOVERED,
    {
      level: EventLevel.INFO,
      text: 'The new owner of a pool has recovered the grants of concurrency slots from their holders.',
    },
  ],
  [
    RoutingEvent.ORPHANED_GRANTS_RELEASED,
    {
      level: EventLevel.INFO,
      text: 'Concurrency slots were freed whose holder is dead or whose release was lost.',
    },
  ],
  [
    RoutingEvent.SERVER_UNREACHABLE,
    {
      level: EventLevel.WARN,
      text: 'A backend server does not answer reads of its load and gets no work.',
      action: 'Check the server and the network of its availability zone.',
    },
  ],
]);
