/** Handlers of the operator API for status, jobs and the burn-rate report. */
import type {SavoryspurError} from '@savoryspur/common';
import type {
  BurnReport,
  FleetStatus,
  OperatorJob,
  OperatorJobList,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import {answerResult, type OperatorHandler} from './operator_http.js';

/** Selects the jobs of a list. */
export interface JobFilter {
  /** Workspace of the jobs; all workspaces when absent. */
  workspace?: string;
  /** Position after which the list continues; from the start when absent. */
  after?: string;
}

/** Serves the operator API in the daemon; each call has a time limit. */
export interface OperatorService {
  /** Gets the status of the fleet in the view of this daemon. */
  getStatus(): Promise<Result<FleetStatus, SavoryspurError>>;
  /** Lists batch jobs. */
  listJobs(
    filter: JobFilter,
  ): Promise<Result<OperatorJobList, SavoryspurError>>;
  /** Gets one job. */
  getJob(jobId: string): Promise<Result<OperatorJob, SavoryspurError>>;
  /** Cancels one job; has no effect on a cancelled job. */
  cancelJob(jobId: string): Promise<Result<OperatorJob, SavoryspurError>>;
  /** Gets the burn rates of the fleet's error budgets. */
  getBurnReport(): Promise<Result<BurnReport, SavoryspurError>>;
}

/** Creates the handlers for status, jobs and the burn-rate report. */
export function createStatusHandlers(
  service: OperatorService,
): OperatorHandler[] {
  return [
    {
      method: 'GET',
      path: '/operator/v1/status',
      handle: async () => answerResult(await service.getStatus(), keepValue),
    },
    {
      method: 'GET',
      path: '/operator/v1/jobs',
      handle: async ({query}) =>
        answerResult(await service.listJobs(parseFilter(query)), keepValue),
    },
    {
      method: 'GET',
      path: '/operator/v1/jobs/:job',
      handle: async ({params}) =>
        answerResult(await service.getJob(params.job ?? ''), keepValue),
    },
    {
      method: 'POST',
      path: '/operator/v1/jobs/:job/cancel',
      handle: async ({params}) =>
        answerResult(await service.cancelJob(params.job ?? ''), keepValue),
    },
    {
      method: 'GET',
      path: '/operator/v1/report/burn',
      handle: async () =>
        answerResult(await service.getBurnReport(), keepValue),
    },
  ];
}

function parseFilter(query: URLSearchParams): JobFilter {
  const workspace = query.get('workspace');
  const after = query.get('after');
  return {...(workspace && {workspace}), ...(after && {after})};
}

/** Returns a value unchanged, for answers that need no conversion. */
function keepValue<T>(value: T): T {
  return value;
}
