/** Catalogue of all log events. */
import type {EventDefinition} from '../event_level.js';
import {DAEMON_EVENTS} from './daemon_events.js';
import {FLEET_EVENTS} from './fleet_events.js';
import {LIMITS_EVENTS} from './limits_events.js';
import {ROUTING_EVENTS} from './routing_events.js';
import {BATCH_EVENTS} from './batch_events.js';
import {CONFIG_EVENTS} from './config_events.js';
import {STORAGE_EVENTS} from './storage_events.js';
import {SERVING_EVENTS} from './serving_events.js';

/** Definitions of all log events by event number. */
export const EVENT_CATALOGUE = new Map<number, EventDefinition>([
  ...DAEMON_EVENTS,
  ...FLEET_EVENTS,
  ...LIMITS_EVENTS,
  ...ROUTING_EVENTS,
  ...BATCH_EVENTS,
  ...CONFIG_EVENTS,
  ...STORAGE_EVENTS,
  ...SERVING_EVENTS,
]);
export * from './daemon_events.js';
export * from './fleet_events.js';
export * from './limits_events.js';
export * from './routing_events.js';
export * from './batch_events.js';
export * from './config_events.js';
export * from './storage_events.js';
export * from './serving_events.js';
