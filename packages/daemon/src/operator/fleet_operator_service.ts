/** Answers operators' queries on fleet status, batch jobs and burn rates. */
import {
  type BatchObject,
  type JobAtRisk,
  type OperatorJobReader,
  type JobService,
} from '@savoryspur/batch';
import {
  type Clock,
  ErrorCode,
  type EnvironmentIndex,
  SavoryspurError,
} from '@savoryspur/common';
import type {
  ConfigFollower,
  JobFilter,
  OperatorService,
} from '@savoryspur/config';
import type {MembershipView} from '@savoryspur/fleet';
import {collectReports, computeBurnReport} from '@savoryspur/report';
import type {
  BurnReport,
  FleetStatus,
  HostStatus,
  JobRow,
  JobAtRisk as ReportedRisk,
  OperatorJob,
  OperatorJobList,
  ServiceLevelQuery,
  ServiceLevelReport,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';

/** Components that {@link FleetOperatorService} uses. */
export interface OperatorServiceContext {
  environment: string;
  clock: Clock;
  fleet: MembershipView;
  follower: ConfigFollower;
  jobs: JobService;
  operatorJobs: OperatorJobReader;
  /**
   * Fetches the service levels of a host; undefined when it gives no answer.
   */
  fetchServiceLevels: (
    host: string,
    query: ServiceLevelQuery,
  ) => Promise<ServiceLevelReport | undefined>;
}

/** Maximum number of jobs in one answer. */
const JOBS_PER_PAGE = 100;

const MS_PER_SECOND = 1000;

/** Operator service that answers from this daemon's view of the fleet. */
export class FleetOperatorService implements OperatorService {
  /**
   * @param context - components to use
   */
  constructor(private readonly context: OperatorServiceContext) {}

  /** {@inheritDoc OperatorService.getStatus} */
  async getStatus(): Promise<Result<FleetStatus, SavoryspurError>> {
    const index = this.requireEnvironment();
    if (index.isErr()) return err(index.error);
    const {environment, fleet} = this.context;
    const {version, digest, document} = index.value;
    return ok({
      host: fleet.self.host,
      environment,
      configVersion: version,
      configDigest: digest,
      zones: document.zones.map((zone) => ({
        zone: zone.name,
        isOut: !index.value.isZoneIn(zone.name),
        hosts: this.listHosts(zone.name, version),
        servers: document.servers.filter((s) => s.zone === zone.name).length,
      })),
    });
  }

  /** {@inheritDoc OperatorService.listJobs} */
  async listJobs(
    filter: JobFilter,
  ): Promise<Result<OperatorJobList, SavoryspurError>> {
    const {operatorJobs} = this.context;
    const page = await operatorJobs.list(JOBS_PER_PAGE, filter.after);
    if (page.isErr()) return err(page.error);
    const jobs: OperatorJob[] = [];
    for (const row of page.value.jobs) {
      if (filter.workspace && row.workspace !== filter.workspace) continue;
      const job = await this.describeJob(row);
      if (job.isErr()) return err(job.error);
      jobs.push(job.value);
    }
    return ok({jobs, ...(page.value.next && {next: page.value.next})});
  }

  /** {@inheritDoc OperatorService.getJob} */
  async getJob(jobId: string): Promise<Result<OperatorJob, SavoryspurError>> {
    const row = await this.context.operatorJobs.find(jobId);
    if (row.isErr()) return err(row.error);
    return this.describeJob(row.value);
  }

  /** {@inheritDoc OperatorService.cancelJob} */
  async cancelJob(
    jobId: string,
  ): Promise<Result<OperatorJob, SavoryspurError>> {
    const {operatorJobs, jobs} = this.context;
    const row = await operatorJobs.find(jobId);
    if (row.isErr()) return err(row.error);
    const {workspace} = row.value;
    const cancelled = await jobs.cancel(workspace, jobId);
    return cancelled.map((job) => toOperatorJob(workspace, job));
  }

  /** {@inheritDoc OperatorService.getBurnReport} */
  async getBurnReport(): Promise<Result<BurnReport, SavoryspurError>> {
    const index = this.requireEnvironment();
    if (index.isErr()) return err(index.error);
    const {workspaces} = index.value.document;
    const {report, missingHosts} = await collectReports({
      hosts: this.listAllHosts(),
      workspaceCount: workspaces.length,
      fetchReport: this.context.fetchServiceLevels,
    });
    const atRisk = await this.context.jobs.listJobsAtRisk();
    return ok(
      computeBurnReport({
        report,
        missingHosts,
        objectives: new Map(workspaces.map((w) => [w.name, w.objective])),
        jobsAtRisk: atRisk.unwrapOr([]).map(toReportedRisk),
        generatedAt: this.context.clock.nowWall(),
      }),
    );
  }

  private requireEnvironment(): Result<EnvironmentIndex, SavoryspurError> {
    const index = this.context.follower.getCurrent();
    if (index) return ok(index);
    const origin = {step: 'operator.view', peer: this.context.fleet.self.host};
    const message = 'no configuration is in force on this host yet';
    return err(new SavoryspurError(ErrorCode.UNAVAILABLE, origin, message));
  }

  private listHosts(zone: string, version: number): HostStatus[] {
    const {fleet} = this.context;
    return fleet.listAlive(zone).map((peer) => ({
      host: peer.host,
      zone: peer.zone,
      address: `${peer.address}:${peer.peerPort}`,
      ...(peer.host === fleet.self.host && {configVersion: version}),
    }));
  }

  private listAllHosts(): string[] {
    const {fleet} = this.context;
    return fleet
      .listZones()
      .flatMap((zone) => fleet.listAlive(zone))
      .map((peer) => peer.host);
  }

  private async describeJob(
    row: JobRow,
  ): Promise<Result<OperatorJob, SavoryspurError>> {
    const job = await this.context.jobs.show(row.workspace, row.id);
    return job.map((object) => toOperatorJob(row.workspace, object));
  }
}

function toOperatorJob(workspace: string, job: BatchObject): OperatorJob {
  return {
    jobId: job.id,
    workspace,
    state: job.status,
    items: job.request_counts.total,
    completed: job.request_counts.completed,
    failed: job.request_counts.failed,
    createdAt: new Date(job.created_at * MS_PER_SECOND).toISOString(),
    dueAt: new Date(job.expires_at * MS_PER_SECOND).toISOString(),
  };
}

function toReportedRisk(job: JobAtRisk): ReportedRisk {
  return {
    jobId: job.jobId,
    workspace: job.workspace,
    dueAt: new Date(job.deadlineMs).toISOString(),
    remainingItems: job.items - job.done,
    ...(job.expectedEndMs && {
      expectedAt: new Date(job.expectedEndMs).toISOString(),
    }),
  };
}
