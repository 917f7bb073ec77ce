/** Representation of a running job in the memory of a worker. */
import type {ActiveJobRow} from '@savoryspur/schema';

/** A running job, read from its active row. */
export interface ActiveJob {
  /** Key of the active row. */
  key: string;
  /**
   * Version of the active row and of the job row; one transaction writes both,
   * so their versions are equal.
   */
  version: number;
  row: ActiveJobRow;
  /** Rendezvous-hash weight of this host for the job, in [0, 1). */
  rendezvousWeight: number;
  /** Monotonic time at which this host first read the job, milliseconds. */
  firstSeenMs: number;
}
