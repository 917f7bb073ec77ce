/** What the worker of one host needs. */
import type {LeaseSettings} from '@savoryspur/schema';
import type {BatchContext} from './context.js';
import type {ItemExecutor} from './item_executor.js';

/** Bounds of a worker that operators do not set. */
export interface WorkerBounds {
  /** Most chunks that a host holds at once. */
  maxHeldChunks: number;
  /** Renewals a second of all hosts together, which bound the chunks held. */
  fleetRenewalsPerSecond: number;
  /** Results held in memory before items wait, bytes. */
  maxBufferedBytes: number;
  /** Results of one chunk that are committed at once, bytes. */
  commitBytes: number;
  /** Longest time a result waits for its commit, milliseconds. */
  commitIntervalMs: number;
  /** Longest time a chunk is kept while segments cannot be stored, ms. */
  maxHoldMs: number;
  /** Wait after the first refused run of an item, milliseconds; doubles. */
  firstBackoffMs: number;
  /** Longest wait between runs of an item, milliseconds. */
  maxBackoffMs: number;
  /** Time after its deadline at which a job expires, milliseconds. */
  expiryGraceMs: number;
  /** Active rows read at once. */
  scanRows: number;
  /** Bytes a second spent on scans of the active rows. */
  scanBytesPerSecond: number;
  /** Reads a second that all hosts together spend on the active rows. */
  fleetScansPerSecond: number;
  /** Reads a second that all hosts together spend on looking for chunks. */
  fleetProbesPerSecond: number;
  /** Hosts that look at a small job at first. */
  firstCandidates: number;
  /** Time after which twice as many hosts look at a job, milliseconds. */
  candidateDoublingMs: number;
}

/** Bounds when none are given. */
export const DEFAULT_BOUNDS: WorkerBounds = {
  maxHeldChunks: 32,
  fleetRenewalsPerSecond: 300,
  maxBufferedBytes: 32 * 1024 * 1024,
  commitBytes: 2 * 1024 * 1024,
  commitIntervalMs: 60_000,
  maxHoldMs: 600_000,
  firstBackoffMs: 200,
  maxBackoffMs: 10_000,
  expiryGraceMs: 86_400_000,
  scanRows: 200,
  scanBytesPerSecond: 1024,
  fleetScansPerSecond: 100,
  fleetProbesPerSecond: 400,
  firstCandidates: 4,
  candidateDoublingMs: 30_000,
};

/** Platform, identity of the host, executor and callbacks. */
export interface WorkerContext extends BatchContext {
  /** Name of this host. */
  host: string;
  /** Unique for each start of this daemon. */
  incarnation: string;
  executor: ItemExecutor;
  leases: LeaseSettings;
  /** Lists the hosts believed alive, this one included. */
  listHosts: () => string[];
  /** Gets the weight of a workspace among batch jobs. */
  getWeight: (workspace: string) => number;
  /** Tells whether a holder is known to be gone for good. */
  isLeaseHolderTerminated: (host: string, incarnation: string) => boolean;
  bounds: WorkerBounds;
}

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Renewals in one term of a chunk lease. */
const RENEWALS_PER_TERM = 3;

/** Chunks that a host may hold in a fleet of any size. */
const MIN_HELD_CHUNKS = 2;

/** Computes the period of the renewals of a chunk lease. */
export function computeRenewalMs(context: WorkerContext): number {
  return context.leases.chunkMs / RENEWALS_PER_TERM;
}

/** Computes how many chunks a host may hold; fewer in a large fleet. */
export function computeMaxHeld(context: WorkerContext): number {
  const {maxHeldChunks, fleetRenewalsPerSecond} = context.bounds;
  const hosts = Math.max(context.listHosts().length, 1);
  const seconds = computeRenewalMs(context) / MS_PER_SECOND;
  const share = Math.floor((fleetRenewalsPerSecond * seconds) / hosts);
  return Math.min(maxHeldChunks, Math.max(share, MIN_HELD_CHUNKS));
}

/**
 * Computes the period of a host's regular reads: the poll period, or longer in
 * a large fleet.
 */
export function computePollMs(context: WorkerContext): number {
  const hosts = context.listHosts().length;
  const paceMs = (hosts * MS_PER_SECOND) / context.bounds.fleetScansPerSecond;
  return Math.max(context.settings.pollMs, paceMs);
}
