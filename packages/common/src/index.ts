/** Code that all packages share: clocks, errors, log events, metrics and rendezvous hashing. */
export * from './backoff.js';
export * from './clock.js';
export * from './connect_socket.js';
export * from './environment_index.js';
export * from './errors.js';
export * from './event_level.js';
export * from './server_sent_event.js';
export * from './event_log.js';
export * from './events/index.js';
export * from './latency_histogram.js';
export * from './line_event_log.js';
export * from './manual_clock.js';
export * from './metrics.js';
export * from './parse_document.js';
export * from './rendezvous.js';
export * from './timeout.js';
export * from './write_bytes.js';
