/** Files and jobs of the batch API, and the worker that runs the items. */
export * from './context.js';
export * from './item_executor.js';
export * from './errors.js';
export type {FileUpload} from './file_upload.js';
export {OperatorJobReader, type JobPage} from './operator_job_reader.js';
export type {JobAtRisk} from './job_risk_estimator.js';
export * from './job_service.js';
export type {JobRequest} from './job_submitter.js';
export * from './openai_objects.js';
export type {PageRequest} from './pages.js';
export {
  type BatchWorker,
  createBatchWorker,
  type WorkerOptions,
  type WorkerStatus,
} from './worker.js';
export type {WorkerBounds} from './worker_context.js';
