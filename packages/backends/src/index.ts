/** Public interface of the package. */
export * from './backend_clients.js';
export {BackendRefusal, isNotRun} from './backend_errors.js';
export type {CallCounters} from './call_counters.js';
export {BackendConnections, type ConnectionOptions} from './connections.js';
export {HttpEngineClient} from './http_engine_client.js';
export {HttpServiceClient} from './http_service_client.js';
export {
  removeKeyFields,
  removeKeyParameters,
  removeKeysFromBody,
  selectForwardedHeaders,
} from './key_filter.js';
export {HttpLoadReader, type LoadReader} from './load_reader.js';
