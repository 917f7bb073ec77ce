/** Answers the calls of other daemons on pools, or passes them on to the daemon that grants the slots. */
import {type Clock, ErrorCode, type SavoryspurError} from '@savoryspur/common';
import type {
  PeerInfo,
  PoolHandOverAnswer,
  PoolHandOverRequest,
  RelayedHolder,
  SlotAcquireAnswer,
  SlotAcquireRequest,
  SlotReleaseRequest,
  SlotSyncAnswer,
  SlotSyncRequest,
  SlotWaitRequest,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {POOL_OWNER_FEATURES} from './call_times.js';
import type {PoolAuthority} from './pool_authority.js';
import type {PoolOwner} from './pool_owner.js';
import type {FinalDecision} from './pool_types.js';
import {
  acquireAndWait,
  RELEASE_TIMEOUT_MS,
  type SlotOwnerCalls,
} from './slot_owner_calls.js';
import {decodeSlotRequest, encodeRelayedRequest} from './slot_request_codec.js';

/** Timeout of an online request that is passed on, milliseconds: shorter than that of the call for which it is. */
const RELAYED_DECISION_TIMEOUT_MS = 80;

/** Time beyond the longest wait of a call that is passed on after which its answer is overdue, milliseconds. */
const RELAY_GRACE_MS = 150;

/** Decision on a grant that this daemon does not know, such as after a restart. */
const UNKNOWN_GRANT: FinalDecision = {
  kind: 'refused',
  reason: 'the owner of the pool does not know the grant',
  retryAfterMs: 0,
};

/** Components that the handler uses. */
export interface PoolCallHandlerOptions {
  clock: Clock;
  authority: PoolAuthority;
  calls: SlotOwnerCalls;
  getPool: (service: string) => PoolOwner;
}

/** Message of a call that can be passed on. */
interface RelayableInput {
  pool: string;
  /** Daemon for which another one has passed the call on, if any. */
  relayedFor?: RelayedHolder;
}

/** A call that is passed on if another daemon grants the slots of the pool. */
interface RelayedCall<TInput extends RelayableInput> {
  input: TInput;
  caller: RelayedHolder;
  /** Whether the call is a long poll, whose timeout shows that the other daemon is unavailable. */
  isPoll?: boolean;
}

/** Answers calls on pools. */
export class PoolCallHandler {
  /** When the waits of the queued requests that were passed on end, by grant id, monotonic milliseconds. */
  private readonly relayedWaitEndsMs = new Map<string, number>();

  /**
   * @param options - pools, and the calls to other daemons
   */
  constructor(private readonly options: PoolCallHandlerOptions) {}

  /** Synchronizes with a holder; see {@link PoolOwner.sync}. */
  async sync(
    input: SlotSyncRequest,
    caller: RelayedHolder,
  ): Promise<SlotSyncAnswer> {
    const {pool, holdings, waitMs, relayedFor} = input;
    const relayed = this.options.authority.isActing(pool)
      ? undefined
      : await this.relay({input, caller, isPoll: true}, (peer, passed) =>
          this.options.calls.sync(peer, passed, waitMs + RELAY_GRACE_MS),
        );
    const features = [...POOL_OWNER_FEATURES];
    if (relayed) return {...relayed, features};
    const holder = relayedFor ?? caller;
    const owner = this.options.getPool(pool);
    return {yields: await owner.sync(holder, holdings, waitMs), features};
  }

  /** Decides on a slot request; see {@link PoolOwner.acquire}. */
  async acquire(
    input: SlotAcquireRequest,
    caller: RelayedHolder,
  ): Promise<SlotAcquireAnswer> {
    const {pool, relayedFor, isBatch, giveUpInMs} = input;
    const relayed = this.options.authority.isActing(pool)
      ? undefined
      : await this.relay({input, caller}, (peer, passed) =>
          this.options.calls.acquire(
            peer,
            passed,
            isBatch ? giveUpInMs + RELAY_GRACE_MS : RELAYED_DECISION_TIMEOUT_MS,
          ),
        );
    if (relayed) {
      if (relayed.isQueued) this.recordRelayedWait(input);
      return relayed;
    }
    const holder = relayedFor ?? caller;
    const owner = this.options.getPool(pool);
    const nowMs = this.options.clock.now();
    const decision = owner.acquire(decodeSlotRequest(input, holder, nowMs));
    if (decision.kind !== 'queued') return encodeDecision(decision);
    // Batch items wait most of the time, and their daemons need not detect
    // quickly that the owner is unavailable, so the call waits for the decision.
    if (isBatch) return encodeDecision(await decision.decided);
    owner.keepDecision(input.grantId, decision.decided);
    return {isQueued: true, retryAfterMs: 0, reason: ''};
  }

  /** Waits for the decision on a queued request. */
  async wait(input: SlotWaitRequest): Promise<SlotAcquireAnswer> {
    const {pool, grantId} = input;
    const decision = this.options.getPool(pool).findDecision(grantId);
    if (decision) return encodeDecision(await decision);
    const endMs = this.relayedWaitEndsMs.get(grantId);
    this.relayedWaitEndsMs.delete(grantId);
    if (endMs === undefined) return encodeDecision(UNKNOWN_GRANT);
    const {authority, calls, clock} = this.options;
    const peer = await authority.find(pool);
    const waitMs = Math.max(0, endMs - clock.now()) + RELAY_GRACE_MS;
    const answer = peer && (await calls.wait(peer, input, waitMs));
    return answer?.isOk() ? answer.value : encodeDecision(UNKNOWN_GRANT);
  }

  /** Records until when the decision on a request that was passed on may be fetched. */
  private recordRelayedWait({grantId, giveUpInMs}: SlotAcquireRequest): void {
    const nowMs = this.options.clock.now();
    for (const [known, endMs] of this.relayedWaitEndsMs) {
      if (endMs > nowMs) break;
      this.relayedWaitEndsMs.delete(known);
    }
    this.relayedWaitEndsMs.set(grantId, nowMs + giveUpInMs);
  }

  /** Releases a slot or cancels a request; see {@link PoolOwner.cancel}. */
  async release(
    input: SlotReleaseRequest,
    caller: RelayedHolder,
  ): Promise<void> {
    const {pool, grantId, outcome, times} = input;
    this.options.getPool(pool).cancel(grantId, outcome, times);
    if (this.options.authority.isActing(pool)) return;
    await this.relay({input, caller}, (peer, passed) =>
      this.options.calls.release(peer, passed, RELEASE_TIMEOUT_MS),
    );
  }

  /** Hands a pool over to the daemon that calls, and passes the queued requests on to it. */
  replaceOwner(
    {pool}: PoolHandOverRequest,
    caller: PeerInfo,
  ): PoolHandOverAnswer {
    const answer = this.options.authority.withdraw(pool, caller);
    if (!answer.isOwner) return answer;
    for (const queued of this.options.getPool(pool).takeQueued()) {
      void this.relayQueued(pool, queued, caller);
    }
    return answer;
  }

  /** Has the next owner decide on a request that was queued here. */
  private async relayQueued(
    pool: string,
    {request, resolve}: ReturnType<PoolOwner['takeQueued']>[number],
    next: PeerInfo,
  ): Promise<void> {
    const {calls, clock} = this.options;
    const input = encodeRelayedRequest(request, pool, clock.now());
    const waitMs = input.giveUpInMs + RELAY_GRACE_MS;
    const timeouts = {firstMs: waitMs, waitMs};
    const answer = await acquireAndWait(calls, next, input, timeouts);
    resolve(answer.isOk() ? decodeDecision(answer.value) : UNKNOWN_GRANT);
  }

  /** Passes a call on to the daemon that grants the slots; undefined when this daemon does, or that one does not answer. */
  private async relay<TInput extends RelayableInput, TAnswer>(
    {input, caller, isPoll = false}: RelayedCall<TInput>,
    call: (
      peer: PeerInfo,
      passed: TInput,
    ) => ResultAsync<TAnswer, SavoryspurError>,
  ): Promise<TAnswer | undefined> {
    const {authority} = this.options;
    const {pool, relayedFor} = input;
    const peer = relayedFor
      ? await authority.findForRelayed(pool)
      : await authority.find(pool);
    if (!peer) return undefined;
    const {host, zone} = relayedFor ?? caller;
    const answer = await call(peer, {...input, relayedFor: {host, zone}});
    if (answer.isOk()) return answer.value;
    // A decision that is late does not show that the other daemon has stopped.
    if (isPoll || answer.error.code !== ErrorCode.TIMEOUT) {
      authority.recordFailure(pool, peer);
    }
    return undefined;
  }
}

function encodeDecision(decision: FinalDecision): SlotAcquireAnswer {
  if (decision.kind === 'granted') {
    const {serverId} = decision;
    return {serverId, isQueued: false, retryAfterMs: 0, reason: ''};
  }
  const {reason, retryAfterMs} = decision;
  return {isQueued: false, retryAfterMs: Math.max(0, retryAfterMs), reason};
}

function decodeDecision({
  serverId,
  reason,
  retryAfterMs,
}: SlotAcquireAnswer): FinalDecision {
  return serverId === undefined
    ? {kind: 'refused', reason, retryAfterMs}
    : {kind: 'granted', serverId};
}
