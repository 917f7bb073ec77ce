/** Waits of the online requests of a daemon that decides standalone: for its own slots, or for an owner. */
import type {Clock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {HeldGrants} from './held_grants.js';
import {computeLatestStartMs} from './latest_start.js';
import type {SlotRequest, SlotResult} from './slot_allocator.js';
import {StandaloneQueue} from './standalone_queue.js';
import type {StandaloneSlots} from './standalone_slots.js';
import {StartForecast} from './start_forecast.js';

/** What the waits use. */
export interface StandaloneWaitsOptions {
  clock: Clock;
  /** Slots that this daemon uses. */
  heldGrants: Pick<HeldGrants, 'listOnlineGrantTimes'>;
  standalone: Pick<StandaloneSlots, 'estimates'>;
  /** Gets the owner of the pool of a service; undefined while none is reachable. */
  getOwner: (service: string) => PeerInfo | undefined;
  /** Takes a slot; undefined while none is free. */
  take: (request: SlotRequest) => SlotResult | undefined;
}

/** Waits of one daemon. */
export class StandaloneWaits {
  private readonly queue: StandaloneQueue;
  /** Owners that failed to decide on requests, which wait for another one. */
  private readonly formerOwners = new WeakMap<SlotRequest, PeerInfo>();

  /**
   * @param options - what the waits use
   */
  constructor(private readonly options: StandaloneWaitsOptions) {
    const {clock, take, standalone} = options;
    this.queue = new StandaloneQueue({
      clock,
      take,
      hasOwner: (request) => this.hasOtherOwner(request),
      computeLatestStartMs: (request) =>
        computeLatestStartMs(request, standalone.estimates),
      estimateStartMs: (request, ahead) =>
        this.estimateStart(request.service, ahead),
    });
  }

  /**
   * Waits for a slot, or for another owner than the one that has just failed.
   *
   * @param request - an online request
   * @param signal - ends the wait
   * @param former - the owner that failed to decide on the request, if any
   * @returns the slot or the refusal; undefined once there is an owner to ask
   */
  wait(
    request: SlotRequest,
    signal: AbortSignal,
    former: PeerInfo | undefined,
  ): Promise<SlotResult | undefined> {
    if (former) this.formerOwners.set(request, former);
    return this.queue.wait(request, signal);
  }

  private hasOtherOwner(request: SlotRequest): boolean {
    const owner = this.options.getOwner(request.service);
    const former = this.formerOwners.get(request);
    return owner !== undefined && owner.incarnation !== former?.incarnation;
  }

  /** Estimates when one of the slots that this daemon uses becomes free behind a number of requests, monotonic milliseconds. */
  private estimateStart(service: string, ahead: number): number | undefined {
    const {clock, heldGrants, standalone} = this.options;
    const holdMs = standalone.estimates.getMeanHoldMs();
    const nowMs = clock.now();
    const forecast = new StartForecast(
      heldGrants
        .listOnlineGrantTimes(service)
        .map((grantedMs) => Math.max(nowMs, grantedMs + holdMs)),
    );
    for (let index = 0; index < ahead; index += 1) forecast.takeNext(holdMs);
    return forecast.takeNext(holdMs);
  }
}
