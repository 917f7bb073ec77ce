/** One wish for a place at one owner, sent again until it is decided. */
import type {Clock} from '@savoryspur/common';
import {
  type AcquireSlotAnswer,
  type AcquireSlotInput,
  AcquireState,
  type PeerInfo,
  SlotUsageEnd,
  RefusalReason,
} from '@savoryspur/schema';
import type {SlotGrant} from './slot_allocator.js';
import type {HeldGrants, Registration} from './held_grants.js';
import type {ReleaseSender} from './release_sender.js';
import type {RoutingPeers} from './routing_peers.js';
import type {ZoneOrder} from './zone_order.js';

/** What a wish works with. */
export interface OwnerCallParts {
  peers: RoutingPeers;
  clock: Clock;
  holdings: HeldGrants;
  sender: ReleaseSender;
  zones: ZoneOrder;
}

/** The wish and the owner that is asked. */
export interface OwnerWish {
  owner: PeerInfo;
  /** Zone of the owner and its servers. */
  zone: string;
  input: AcquireSlotInput;
  signal?: AbortSignal;
}

/** What came of a wish: a place, a reason, or nothing without the owner. */
export interface OwnerReply {
  placement?: SlotGrant;
  reason?: RefusalReason;
}

/** One wish for a place at one owner. */
export class AcquireCall {
  /**
   * @param parts - what the wish works with
   * @param wish - the wish and the owner
   */
  constructor(
    private readonly parts: OwnerCallParts,
    private readonly wish: OwnerWish,
  ) {}

  /**
   * Asks until the owner decides. Whatever does not end with a placement is
   * given back, so that a place granted by a lost answer is free again.
   *
   * @param deadlineMs - monotonic time at which the wait ends; 0 for no wait
   */
  async run(deadlineMs: number): Promise<OwnerReply> {
    const {holdings} = this.parts;
    const {input, zone} = this.wish;
    const before = holdings.getRegistration(input.pool, zone);
    holdings.begin(input.grantId, input.pool);
    const answer = await this.request(deadlineMs);
    if (answer?.state === AcquireState.REFUSED) {
      holdings.end(input.grantId);
      return {reason: answer.reason};
    }
    const placement = answer && this.accept(answer, before);
    if (placement) return {placement};
    this.releaseGrant();
    return {};
  }

  /** Sends the wish until it is decided, the caller leaves, or time is up. */
  private async request(
    deadlineMs: number,
  ): Promise<AcquireSlotAnswer | undefined> {
    const {clock, peers} = this.parts;
    const {input, owner, signal} = this.wish;
    while (!signal?.aborted) {
      const waitMs = Math.max(Math.ceil(deadlineMs - clock.now()), 0);
      const call = peers.acquire(owner, {...input, waitMs});
      const result = await waitUnlessAborted(call, signal);
      if (result === undefined || result.isErr()) return undefined;
      if (result.value.state !== AcquireState.QUEUED) return result.value;
      if (deadlineMs > 0 && clock.now() >= deadlineMs) {
        this.releaseGrant();
        return {state: AcquireState.REFUSED, reason: RefusalReason.FULL};
      }
    }
    return undefined;
  }

  /**
   * Accepts a granted place, unless the caller left, the zone was taken out, or
   * another owner has since counted this host's places without it.
   */
  private accept(
    answer: AcquireSlotAnswer,
    before: Registration,
  ): SlotGrant | undefined {
    const {holdings, zones} = this.parts;
    const {input, owner, signal, zone} = this.wish;
    const {server, knowledge} = answer;
    if (!server || signal?.aborted || !zones.isIn(server.zone)) {
      return undefined;
    }
    const after = holdings.getRegistration(input.pool, zone);
    const isReplaced =
      after.sequence > before.sequence && after.host !== owner.host;
    if (isReplaced) return undefined;
    const revocation = new AbortController();
    holdings.add({
      grantId: input.grantId,
      pool: input.pool,
      workspace: input.workspace,
      trafficClass: input.trafficClass,
      fingerprint: input.fingerprint,
      server,
      owners: new Map([[owner.host, owner]]),
      revocation,
    });
    if (knowledge) holdings.recordKnowledge(server, knowledge);
    return {
      grantId: input.grantId,
      server,
      owner,
      preemptionSignal: revocation.signal,
    };
  }

  private releaseGrant(): void {
    const {holdings, sender} = this.parts;
    const {grantId, pool} = this.wish.input;
    holdings.end(grantId);
    sender.push(this.wish.owner, {grantId, pool, end: SlotUsageEnd.CANCELLED});
  }
}

/** Waits for a call, or for nothing once the caller has left. */
async function waitUnlessAborted<T>(
  call: PromiseLike<T>,
  signal: AbortSignal | undefined,
): Promise<T | undefined> {
  if (!signal) return call;
  let finish: () => void = () => undefined;
  const aborted = new Promise<undefined>((resolve) => {
    finish = () => resolve(undefined);
    signal.addEventListener('abort', finish, {once: true});
  });
  try {
    return await Promise.race([call, aborted]);
  } finally {
    signal.removeEventListener('abort', finish);
  }
}
