/** Calls to pool owners on other daemons. */
import type {SavoryspurError} from '@savoryspur/common';
import type {
  PeerInfo,
  PoolHandOverAnswer,
  PoolHandOverRequest,
  SlotAcquireAnswer,
  SlotAcquireRequest,
  SlotReleaseRequest,
  SlotSyncAnswer,
  SlotSyncRequest,
  SlotWaitRequest,
} from '@savoryspur/schema';
import {okAsync, type ResultAsync} from 'neverthrow';

/** Timeout of the call that releases a slot, milliseconds. */
export const RELEASE_TIMEOUT_MS = 500;

/** Makes the calls. */
export interface SlotOwnerCalls {
  /** Reports the held slots and waits for preemptions. */
  sync(
    owner: PeerInfo,
    input: SlotSyncRequest,
    timeoutMs: number,
  ): ResultAsync<SlotSyncAnswer, SavoryspurError>;
  /** Requests a slot. */
  acquire(
    owner: PeerInfo,
    input: SlotAcquireRequest,
    timeoutMs: number,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError>;
  /** Waits for the decision on a queued request. */
  wait(
    owner: PeerInfo,
    input: SlotWaitRequest,
    timeoutMs: number,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError>;
  /** Asks the former owner of a pool to hand it over. */
  handOver(
    former: PeerInfo,
    input: PoolHandOverRequest,
    timeoutMs: number,
  ): ResultAsync<PoolHandOverAnswer, SavoryspurError>;
  /** Releases a slot or cancels a request. */
  release(
    owner: PeerInfo,
    input: SlotReleaseRequest,
    timeoutMs: number,
  ): ResultAsync<void, SavoryspurError>;
}

/** Timeouts of a slot request, milliseconds. */
export interface SlotRequestTimeouts {
  /** For the answer that the request is granted, refused or queued. */
  firstMs: number;
  /** For the decision on a queued request. */
  waitMs: number;
}

/** Requests a slot, and waits for the decision when the request is queued. */
export function acquireAndWait(
  calls: Pick<SlotOwnerCalls, 'acquire' | 'wait'>,
  owner: PeerInfo,
  input: SlotAcquireRequest,
  {firstMs, waitMs}: SlotRequestTimeouts,
): ResultAsync<SlotAcquireAnswer, SavoryspurError> {
  const {pool, grantId} = input;
  return calls
    .acquire(owner, input, firstMs)
    .andThen((first) =>
      first.isQueued
        ? calls.wait(owner, {pool, grantId}, waitMs)
        : okAsync(first),
    );
}
