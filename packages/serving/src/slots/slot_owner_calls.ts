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
import type {ResultAsync} from 'neverthrow';

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
