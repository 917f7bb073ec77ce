/** Serving path: environment, places, rates, online requests and batch jobs. */
export * from './backend_server.js';
export * from './environment.js';
export * from './jobs/job_service.js';
export * from './jobs/job_store.js';
export * from './jobs/job_submitter.js';
export * from './online/event_splitter.js';
export * from './online/online_handler.js';
export * from './online/online_types.js';
export * from './peers/members.js';
export * from './peers/serving_router.js';
export * from './places/place_pool.js';
export * from './places/placer.js';
export * from './serving_metrics.js';
export * from './serving_node.js';
export * from './store/relayed_store.js';
export * from './store/row_store.js';
export * from './store/table_follower.js';
