/** Clients of the table service, the object store and the host list over HTTP. */
export * from './host_list.js';
export * from './http_caller.js';
export * from './object_store.js';
export * from './read_back.js';
export * from './table_service.js';
