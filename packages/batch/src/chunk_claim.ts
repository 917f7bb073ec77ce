/** Claims a chunk for this host by a conditional transaction. */
import {BatchEvent} from '@savoryspur/common';
import {
  type ChunkRow,
  ChunkState,
  type ItemAttempts,
  validateChunkRow,
} from '@savoryspur/schema';
import {randomUUID} from 'node:crypto';
import type {ActiveJob} from './active_job.js';
import type {ClaimedChunk} from './chunk_lease.js';
import {formatChunkRowKey, formatJobRowKey} from './keys.js';
import {readRow, type TypedRow} from './rows.js';
import type {WorkerContext} from './worker_context.js';

/** A chunk that this host may claim. */
export interface ClaimCandidate {
  job: ActiveJob;
  chunk: number;
  /**
   * The chunk row as read; undefined when no host has claimed the chunk yet.
   */
  row: TypedRow<ChunkRow> | undefined;
}

/** Result of a claim. */
export enum ClaimResult {
  CLAIMED = 'claimed',
  /** The chunk row has changed since it was read: another host claimed it. */
  CONFLICT = 'conflict',
  /** The job row has changed: the job has ended. */
  JOB_ENDED = 'job_ended',
  /**
   * The table service is unavailable, so the result of the claim is unknown.
   */
  STORE_UNAVAILABLE = 'store_away',
}

/** Result of a claim, with the claimed chunk when it succeeded. */
export interface ClaimOutcome {
  result: ClaimResult;
  claimed?: ClaimedChunk;
}

/**
 * Claims a chunk. When the answer to the transaction is lost, a
 * read-after-write check finds out whether the claim took effect; when that
 * check fails too, the host does not work on the chunk.
 */
export async function claimChunk(
  context: WorkerContext,
  candidate: ClaimCandidate,
): Promise<ClaimOutcome> {
  const {job, chunk} = candidate;
  const sentMs = context.clock.now();
  const key = formatChunkRowKey(job.row.jobId, chunk);
  const jobRowKey = formatJobRowKey(job.row.jobId);
  const row = createLeasedRow(context, candidate.row?.value);
  const answer = await context.table.transact({
    conditions: [
      {key, version: candidate.row?.version ?? 0},
      {key: jobRowKey, version: job.version},
    ],
    writes: [{key, value: {...row}}],
  });
  if (answer.isOk() && !answer.value.committed) {
    const isEnded = answer.value.conflictKey === jobRowKey;
    return {result: isEnded ? ClaimResult.JOB_ENDED : ClaimResult.CONFLICT};
  }
  const version = answer.isOk()
    ? answer.value.version
    : await readClaimedVersion(context, key, row.nonce);
  if (version === undefined) return {result: ClaimResult.STORE_UNAVAILABLE};
  recordClaim(context, candidate, row);
  const claimed = {job, chunk, row, version, sentMs};
  return {result: ClaimResult.CLAIMED, claimed};
}

function recordClaim(
  context: WorkerContext,
  {job, chunk, row: previous}: ClaimCandidate,
  row: ChunkRow,
): void {
  const isTakeover = previous && isLeasedByOther(context, previous.value);
  const event = isTakeover
    ? BatchEvent.CHUNK_TAKEN_OVER
    : BatchEvent.CHUNK_CLAIMED;
  context.log.record(event, {
    job: job.row.jobId,
    chunk,
    epoch: row.epoch,
    peer: previous?.value.host,
  });
}

/**
 * Tells whether the row of a chunk names another process as the lease holder,
 * including an earlier incarnation on this host. Claiming such a chunk is a
 * takeover.
 */
function isLeasedByOther(context: WorkerContext, row: ChunkRow): boolean {
  if (row.state !== ChunkState.LEASED) return false;
  return row.host !== context.host || row.incarnation !== context.incarnation;
}

/**
 * Reads the version of a chunk row if the row still has the nonce of the claim.
 */
async function readClaimedVersion(
  context: WorkerContext,
  key: string,
  nonce: string,
): Promise<number | undefined> {
  const found = await readRow(context.table, key, validateChunkRow);
  if (found.isErr() || found.value?.value.nonce !== nonce) return undefined;
  return found.value.version;
}

/** Creates the chunk row that makes this host the lease holder. */
function createLeasedRow(
  context: WorkerContext,
  previous: ChunkRow | undefined,
): ChunkRow {
  const lease = {
    state: ChunkState.LEASED,
    epoch: (previous?.epoch ?? 0) + 1,
    host: context.host,
    incarnation: context.incarnation,
    nonce: randomUUID(),
    renewal: 0,
    inFlight: [],
  };
  if (previous === undefined) {
    return {
      ...lease,
      done: '',
      segments: [],
      completed: 0,
      failed: 0,
      crashes: 0,
      attempts: [],
    };
  }
  if (!isLeasedByOther(context, previous)) return {...previous, ...lease};
  return {
    ...previous,
    ...lease,
    crashes: previous.crashes + 1,
    attempts: addAttempts(previous.attempts, previous.inFlight),
  };
}

/**
 * Counts one attempt for each item that the row lists as in flight at a
 * takeover: the item may have crashed the previous lease holder.
 */
function addAttempts(
  attempts: readonly ItemAttempts[],
  inFlight: readonly number[],
): ItemAttempts[] {
  const counts = new Map(attempts.map((entry) => [entry.index, entry.count]));
  for (const index of inFlight) counts.set(index, (counts.get(index) ?? 0) + 1);
  return [...counts].map(([index, count]) => ({index, count}));
}
