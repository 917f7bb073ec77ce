/** Calls the owners of pools on other daemons, in the form that each of them understands. */
import type {Clock, SavoryspurError} from '@savoryspur/common';
import type {
  CallOutcome,
  CallTimes,
  PeerInfo,
  SlotAcquireAnswer,
  SlotSyncRequest,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {formatHostIncarnation} from '../peers/incarnation.js';
import {CALL_TIMES_FEATURE} from './call_times.js';
import type {SlotRequest} from './slot_allocator.js';
import {
  acquireAndWait,
  RELEASE_TIMEOUT_MS,
  type SlotOwnerCalls,
} from './slot_owner_calls.js';
import {encodeSlotRequest} from './slot_request_codec.js';

/** Time beyond the longest wait of a request after which the owner's answer is overdue, milliseconds. */
const ANSWER_GRACE_MS = 200;

/** Timeout for the owner's answer that an online request is granted, refused or queued, milliseconds: many times the round trip to another zone. A daemon whose owner does not answer decides standalone, so it must notice soon. */
const ONLINE_DECISION_TIMEOUT_MS = 120;

/** Owners of pools on other daemons. */
export class RemoteOwners {
  /** Features that the daemons have announced as owners, by host and incarnation. */
  private readonly features = new Map<string, ReadonlySet<string>>();

  /**
   * @param calls - calls to other daemons
   * @param clock - source of time
   */
  constructor(
    private readonly calls: SlotOwnerCalls,
    private readonly clock: Clock,
  ) {}

  /** Whether a daemon that owns a pool has announced a feature; one of an earlier release announces none. */
  hasFeature(peer: PeerInfo, feature: string): boolean {
    const features = this.features.get(formatHostIncarnation(peer));
    return features?.has(feature) === true;
  }

  /**
   * Reports the held slots to an owner and waits for preemptions.
   *
   * @param owner - the owner
   * @param input - the held slots of a service, and how long to wait, milliseconds
   * @param timeoutMs - timeout of the call, milliseconds
   * @returns ids of the preempted grants
   */
  sync(
    owner: PeerInfo,
    input: SlotSyncRequest,
    timeoutMs: number,
  ): ResultAsync<readonly string[], SavoryspurError> {
    return this.calls
      .sync(owner, input, timeoutMs)
      .map(({yields, features}) => {
        const incarnation = formatHostIncarnation(owner);
        this.features.set(incarnation, new Set(features));
        return yields;
      });
  }

  /** Sends a slot request to an owner, and waits for its decision when the request is queued. */
  acquire(
    request: SlotRequest,
    grantId: string,
    owner: PeerInfo,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError> {
    const input = encodeSlotRequest(
      request,
      grantId,
      this.clock.now(),
      (feature) => this.hasFeature(owner, feature),
    );
    const waitMs = input.giveUpInMs + ANSWER_GRACE_MS;
    const firstMs = request.isBatch ? waitMs : ONLINE_DECISION_TIMEOUT_MS;
    return acquireAndWait(this.calls, owner, input, {firstMs, waitMs});
  }

  /**
   * Releases a slot or cancels a request. If the call is lost, the owner learns
   * of the release from the next synchronization.
   *
   * @param owner - the owner
   * @param service - name of the service
   * @param grantId - the grant of the slot
   * @param outcome - how the call to the server ended
   * @param times - times of the call, if there was one
   */
  release(
    owner: PeerInfo,
    service: string,
    grantId: string,
    outcome: CallOutcome,
    times?: CallTimes,
  ): void {
    void this.calls.release(
      owner,
      {
        pool: service,
        grantId,
        outcome,
        ...(times && this.hasFeature(owner, CALL_TIMES_FEATURE) && {times}),
      },
      RELEASE_TIMEOUT_MS,
    );
  }
}
