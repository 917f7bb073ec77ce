/**
 * Helpers of the end-to-end tests, which run daemons and stand-ins as real
 * processes.
 */
export * from './promise_table.js';
export * from './site.js';
export * from './site_caller.js';
export * from './test_timing.js';
export * from './site_operator.js';
export * from './site_load.js';
