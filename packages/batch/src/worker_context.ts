/** Dependencies and limits of the batch worker of one host. */
import type {LeaseSettings} from '@savoryspur/schema';
import type {BatchContext} from './context.js';
import type {ItemExecutor} from './item_executor.js';

/** Limits and times of a worker that are not operator settings. */
export interface WorkerBounds {
  /** Maximum number of chunks that a host holds at once. */
  maxHeldChunks: number;
  /**
   * Lease renewals per second of all hosts together. In a large fleet, this
   * limits the chunks that a host holds.
   */
  fleetRenewalsPerSecond: number;
  /** Size of uncommitted results at which no further item starts, bytes. */
  maxBufferedBytes: number;
  /**
   * Size of uncommitted results of a chunk at which they are committed, bytes.
   */
  commitThresholdBytes: number;
  /** Time after which a buffered result is committed, milliseconds. */
  maxCommitDelayMs: number;
  /**
   * Time for which the lease of a chunk is renewed while its segments cannot be
   * stored, milliseconds.
   */
  maxStoreFailureMs: number;
  /**
   * Delay after the first failed or refused run of an item, milliseconds;
   * doubles with each further run.
   */
  initialBackoffMs: number;
  /** Maximum delay between runs of an item, milliseconds. */
  maxBackoffMs: number;
  /**
   * Maximum delay after a run during which the connection to the server broke,
   * milliseconds.
   */
  maxServerLostBackoffMs: number;
  /** Time from the deadline of a job until it expires, milliseconds. */
  expiryGraceMs: number;
  /** Maximum number of active rows in one read. */
  scanPageRows: number;
  /** Bytes per second that a host spends on scans of the active rows. */
  scanBytesPerSecond: number;
  /**
   * Regular reads per second of all hosts, such as scans of the active rows.
   */
  fleetScansPerSecond: number;
  /** Reads of chunk rows per second of all hosts together. */
  fleetChunkReadsPerSecond: number;
  /** Minimum number of hosts that work on a new job. */
  initialHostsPerJob: number;
  /**
   * Time after which the number of hosts that work on a job doubles,
   * milliseconds.
   */
  hostsPerJobDoublingMs: number;
}

/** Default bounds of a worker. */
export const DEFAULT_WORKER_BOUNDS: WorkerBounds = {
  maxHeldChunks: 32,
  fleetRenewalsPerSecond: 300,
  maxBufferedBytes: 32 * 1024 * 1024,
  commitThresholdBytes: 2 * 1024 * 1024,
  maxCommitDelayMs: 60_000,
  maxStoreFailureMs: 600_000,
  initialBackoffMs: 200,
  maxBackoffMs: 10_000,
  maxServerLostBackoffMs: 2000,
  expiryGraceMs: 86_400_000,
  scanPageRows: 200,
  scanBytesPerSecond: 1024,
  fleetScansPerSecond: 100,
  fleetChunkReadsPerSecond: 400,
  initialHostsPerJob: 4,
  hostsPerJobDoublingMs: 30_000,
};

/** Storage, identity of the host, executor, callbacks and bounds. */
export interface WorkerContext extends BatchContext {
  /** Name of this host. */
  host: string;
  /** Id of this process lifetime of the daemon. */
  incarnation: string;
  executor: ItemExecutor;
  leases: LeaseSettings;
  /** Lists the hosts that are considered alive, including this host. */
  listHosts: () => string[];
  /** Gets the fair-share weight of a workspace for batch work. */
  getWorkspaceWeight: (workspace: string) => number;
  /** Tells whether a lease holder is known to have terminated for good. */
  isLeaseHolderTerminated: (host: string, incarnation: string) => boolean;
  bounds: WorkerBounds;
}

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Number of renewals in one term of a chunk lease. */
const RENEWALS_PER_TERM = 3;

/** Number of chunks that a host may hold whatever the size of the fleet. */
const MIN_HELD_CHUNKS = 2;

/** Computes the interval between renewals of a chunk lease, milliseconds. */
export function computeRenewalIntervalMs(context: WorkerContext): number {
  return context.leases.chunkMs / RENEWALS_PER_TERM;
}

/**
 * Computes how many chunks a host may hold. It is fewer in a large fleet, to
 * keep the renewals of all hosts within `fleetRenewalsPerSecond`.
 */
export function computeMaxHeldChunks(context: WorkerContext): number {
  const {maxHeldChunks, fleetRenewalsPerSecond} = context.bounds;
  const hosts = Math.max(context.listHosts().length, 1);
  const renewalSeconds = computeRenewalIntervalMs(context) / MS_PER_SECOND;
  const hostShare = Math.floor(
    (fleetRenewalsPerSecond * renewalSeconds) / hosts,
  );
  return Math.min(maxHeldChunks, Math.max(hostShare, MIN_HELD_CHUNKS));
}

/**
 * Computes the interval between regular reads of a host, milliseconds. It is
 * the poll interval of the settings, or longer in a large fleet, to keep the
 * reads of all hosts within `fleetScansPerSecond`.
 */
export function computePollIntervalMs(context: WorkerContext): number {
  const hosts = context.listHosts().length;
  const fleetIntervalMs =
    (hosts * MS_PER_SECOND) / context.bounds.fleetScansPerSecond;
  return Math.max(context.settings.pollMs, fleetIntervalMs);
}
