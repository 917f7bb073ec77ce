/**
 * Order in which a host works on jobs: weighted fair queueing between
 * workspaces, earliest deadline first within a workspace.
 */
import type {ActiveJob} from './active_job.js';

/** Lower bound that is applied to the weight of a workspace. */
const MIN_WORKSPACE_WEIGHT = 0.01;

/**
 * Start-time fair queueing between workspaces. Virtual times are in items
 * divided by the weight of the workspace.
 */
export class FairShare {
  /** Virtual time by workspace at which its recorded items are finished. */
  private readonly finishTimes = new Map<string, number>();
  private virtualTime = 0;

  /**
   * @param getWeight - gets the fair-share weight of a workspace
   */
  constructor(private readonly getWeight: (workspace: string) => number) {}

  /**
   * Chooses the next job and advances the virtual time to its start time.
   *
   * @param jobs - jobs that may have claimable chunks
   * @returns the job with the earliest deadline of the workspace with the
   *     smallest start time
   */
  choose(jobs: Iterable<ActiveJob>): ActiveJob | undefined {
    let best: ActiveJob | undefined;
    let bestTime = Infinity;
    for (const job of jobs) {
      const time = this.computeStartTime(job.row.workspace);
      if (time > bestTime) continue;
      if (best && time === bestTime && !isEarlier(job, best)) continue;
      best = job;
      bestTime = time;
    }
    if (best) this.virtualTime = bestTime;
    return best;
  }

  /**
   * Adds claimed items to the virtual time of a workspace.
   *
   * @param workspace - the workspace
   * @param items - number of items
   */
  recordItems(workspace: string, items: number): void {
    const weight = Math.max(this.getWeight(workspace), MIN_WORKSPACE_WEIGHT);
    const start = this.computeStartTime(workspace);
    this.finishTimes.set(workspace, start + items / weight);
  }

  /** Removes workspaces whose finish time has passed in virtual time. */
  removeIdle(): void {
    for (const [workspace, time] of this.finishTimes) {
      if (time <= this.virtualTime) this.finishTimes.delete(workspace);
    }
  }

  /**
   * Computes the virtual start time of the next items of a workspace. A
   * workspace that was idle starts at the current virtual time, so it saves up
   * no credit.
   */
  private computeStartTime(workspace: string): number {
    return Math.max(this.finishTimes.get(workspace) ?? 0, this.virtualTime);
  }
}

function isEarlier(a: ActiveJob, b: ActiveJob): boolean {
  if (a.row.deadline !== b.row.deadline) {
    return a.row.deadline < b.row.deadline;
  }
  return a.row.jobId < b.row.jobId;
}
