/** One acquire request to one owner, sent again until the owner has decided. */
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

/** Dependencies of an acquire call. */
export interface AcquireCallParts {
  peers: RoutingPeers;
  clock: Clock;
  heldGrants: HeldGrants;
  releaseSender: ReleaseSender;
  zones: ZoneOrder;
}

/** An acquire request and the owner to ask. */
export interface OwnerRequest {
  owner: PeerInfo;
  /** Zone of the owner and of the servers that the owner grants slots on. */
  zone: string;
  input: AcquireSlotInput;
  /** Aborted when the caller has left. */
  signal?: AbortSignal;
}

/**
 * Outcome of an acquire request: a grant, the reason of a refusal, or neither
 * when the owner gave no usable answer.
 */
export interface AcquireOutcome {
  grant?: SlotGrant;
  reason?: RefusalReason;
  /** Time after which there is expected to be room, milliseconds. */
  retryAfterMs?: number;
}

/** Asks one owner for one slot. */
export class AcquireCall {
  /**
   * @param parts - dependencies
   * @param ownerRequest - the acquire request and the owner to ask
   */
  constructor(
    private readonly parts: AcquireCallParts,
    private readonly ownerRequest: OwnerRequest,
  ) {}

  /**
   * Asks until the owner has decided. A request that ends neither with a grant
   * nor with a refusal is released, so that a slot granted in a lost
   * answer becomes free again.
   *
   * @param deadlineMs - monotonic time at which the wait ends; 0 for no wait
   */
  async run(deadlineMs: number): Promise<AcquireOutcome> {
    const {heldGrants} = this.parts;
    const {input, zone} = this.ownerRequest;
    const registrationBefore = heldGrants.getRegistration(input.pool, zone);
    heldGrants.beginRequest(input.grantId, input.pool);
    const answer = await this.requestUntilDecided(deadlineMs);
    if (answer?.state === AcquireState.REFUSED) {
      heldGrants.endRequest(input.grantId);
      return {reason: answer.reason, retryAfterMs: answer.retryAfterMs};
    }
    const grant = answer && this.acceptGrant(answer, registrationBefore);
    if (grant) return {grant};
    this.releaseGrant();
    return {};
  }

  /**
   * Sends the request until the owner has decided, the caller leaves, the call
   * fails, or the deadline passes.
   */
  private async requestUntilDecided(
    deadlineMs: number,
  ): Promise<AcquireSlotAnswer | undefined> {
    const {clock, peers} = this.parts;
    const {input, owner, signal} = this.ownerRequest;
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
   * Accepts a granted slot, unless the caller has left, the zone was taken out
   * of service, or another owner has meanwhile registered this host's slots,
   * which did not include this slot.
   *
   * @param registrationBefore - last registration before the request was sent
   */
  private acceptGrant(
    answer: AcquireSlotAnswer,
    registrationBefore: Registration,
  ): SlotGrant | undefined {
    const {heldGrants, zones} = this.parts;
    const {input, owner, signal, zone} = this.ownerRequest;
    const {server, knowledge: hint} = answer;
    if (!server || signal?.aborted || !zones.isZoneInService(server.zone)) {
      return undefined;
    }
    const registrationAfter = heldGrants.getRegistration(input.pool, zone);
    const hasNewerOwner =
      registrationAfter.sequence > registrationBefore.sequence &&
      registrationAfter.host !== owner.host;
    if (hasNewerOwner) return undefined;
    const revocation = new AbortController();
    heldGrants.add({
      grantId: input.grantId,
      pool: input.pool,
      workspace: input.workspace,
      trafficClass: input.trafficClass,
      fingerprint: input.fingerprint,
      server,
      owners: new Map([[owner.host, owner]]),
      revocation,
    });
    if (hint) heldGrants.recordWarmUpHint(server, hint);
    return {
      grantId: input.grantId,
      server,
      owner,
      preemptionSignal: revocation.signal,
    };
  }

  /** Ends the request and releases the slot that the owner may have granted. */
  private releaseGrant(): void {
    const {heldGrants, releaseSender} = this.parts;
    const {grantId, pool} = this.ownerRequest.input;
    heldGrants.endRequest(grantId);
    releaseSender.push(this.ownerRequest.owner, {
      grantId,
      pool,
      end: SlotUsageEnd.CANCELLED,
    });
  }
}

/** Waits for a call; returns undefined as soon as the signal is aborted. */
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
