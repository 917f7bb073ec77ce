/**
 * Test support: stand-ins that run as processes, fault injection, a fleet
 * harness, a load generator and checkers.
 */
export * from './checks/outcome_checker.js';
export * from './checks/rate_checker.js';
export * from './engine/answer_text.js';
export * from './harness/apply_environment.js';
export * from './harness/child_process.js';
export * from './harness/control_client.js';
export * from './harness/daemon_process.js';
export * from './harness/daemon_settings.js';
export * from './harness/environment_document.js';
export * from './harness/fleet_harness.js';
export * from './harness/port_reservation.js';
export * from './harness/ports.js';
export * from './harness/stand_in_clients.js';
export * from './harness/stand_in_process.js';
export * from './harness/stand_ins.js';
export * from './harness/zone_links.js';
export * from './http_stand_in.js';
export * from './load/answer_reader.js';
export * from './load/load_generator.js';
export * from './load/load_report.js';
export * from './proxy/proxy_link.js';
export * from './seeded_random.js';
export * from './traces/http_handlers.js';
export * from './traces/replay.js';
export * from './traces/trace.js';
