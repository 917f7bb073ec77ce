/**
 * Public interface of the package: environment documents, their versions and
 * keys, the operator API, and orders to engines.
 */
export * from './config_distributor.js';
export * from './config_follower.js';
export * from './config_handlers.js';
export * from './config_router.js';
export * from './config_store.js';
export {computeDigest} from './digest.js';
export * from './environment_check.js';
export * from './environment_diff.js';
export {EnvironmentLoader, type LoadedState} from './environment_loader.js';
export type {EnvironmentState} from './environment_state.js';
export type {CommitResult, WriterContext} from './environment_writer.js';
export * from './operator_http.js';
export * from './parse_environment.js';
export * from './operator_service.js';
export * from './orders/index.js';
