/** Operators' handlers for what the daemon knows: status, jobs and burn. */
import type {SavoryspurError} from '@savoryspur/common';
import type {
  BurnReport,
  FleetStatus,
  OperatorJob,
  OperatorJobList,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import {answerResult, type OperatorHandler} from './operator_http.js';

/** Which jobs an operator wants to see. */
export interface JobFilter {
  /** Only jobs of this workspace. */
  workspace?: string;
  /** Where the list goes on. */
  after?: string;
}

/** What the daemon tells operators; each call is bounded in time. */
export interface OperatorService {
  /** Gets the fleet as this daemon sees it. */
  getStatus(): Promise<Result<FleetStatus, SavoryspurError>>;
  /** Lists batch jobs. */
  listJobs(
    filter: JobFilter,
  ): Promise<Result<OperatorJobList, SavoryspurError>>;
  /** Gets one job. */
  getJob(jobId: string): Promise<Result<OperatorJob, SavoryspurError>>;
  /** Cancels one job; cancelling it again changes nothing. */
  cancelJob(jobId: string): Promise<Result<OperatorJob, SavoryspurError>>;
  /** Gets the service-level burn of the fleet. */
  getBurnReport(): Promise<Result<BurnReport, SavoryspurError>>;
}

/** Makes the handlers for status, jobs and burn. */
export function createStatusHandlers(
  backend: OperatorService,
): OperatorHandler[] {
  return [
    {
      method: 'GET',
      path: '/operator/v1/status',
      handle: async () => answerResult(await backend.getStatus(), getSame),
    },
    {
      method: 'GET',
      path: '/operator/v1/jobs',
      handle: async ({query}) =>
        answerResult(await backend.listJobs(parseFilter(query)), getSame),
    },
    {
      method: 'GET',
      path: '/operator/v1/jobs/:job',
      handle: async ({params}) =>
        answerResult(await backend.getJob(params.job ?? ''), getSame),
    },
    {
      method: 'POST',
      path: '/operator/v1/jobs/:job/cancel',
      handle: async ({params}) =>
        answerResult(await backend.cancelJob(params.job ?? ''), getSame),
    },
    {
      method: 'GET',
      path: '/operator/v1/report/burn',
      handle: async () => answerResult(await backend.getBurnReport(), getSame),
    },
  ];
}

function parseFilter(query: URLSearchParams): JobFilter {
  const workspace = query.get('workspace');
  const after = query.get('after');
  return {...(workspace && {workspace}), ...(after && {after})};
}

function getSame<T>(value: T): T {
  return value;
}
