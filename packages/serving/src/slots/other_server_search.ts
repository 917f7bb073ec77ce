/**
 * Looks for another server while a call gets no response. The call goes on
 * meanwhile: its server may be silent for a while and continue.
 */
import {type Clock, Timeout} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {
  type CallFailure,
  SERVER_SILENT,
  type ServerCall,
  type ServerCaller,
  type ServerReply,
} from '../online/online_types.js';
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {ServiceRegistry} from '../service_registry.js';
import {
  isOfVersion,
  type SlotAllocator,
  type SlotGrant,
  type SlotRequest,
} from './slot_allocator.js';

/** Interval between searches after one without a result, milliseconds. */
const SEARCH_INTERVAL_MS = 250;

/** Longest silence of a sound server, milliseconds; after it the connection counts as lost. */
const MAX_SILENCE_MS = 2000;

/** Number of intervals in a row in which a server has responded to other calls, after which the connection of a call without a response counts as lost. */
const RESPONSIVE_INTERVALS_TO_LOSE = 2;

/** Components that a search uses. */
export interface OtherServerSearchOptions {
  clock: Clock;
  registry: Pick<
    ServiceRegistry<EnvironmentView>,
    'listLeaving' | 'listServers'
  >;
  slotAllocator: SlotAllocator;
  /** Tells when servers have last responded. */
  reachability: Pick<ReachabilityMonitor, 'getLastResponseMs'>;
  /** Creates the request for a slot, which excludes the servers that were called. */
  createRequest: () => SlotRequest;
}

/** Search for a server to which a request can go instead of the one that it was sent to. */
export class OtherServerSearch {
  private stop: AbortController | undefined;
  private slot: SlotGrant | undefined;
  /** Server of the latest call. */
  private calledServerId = '';

  /**
   * @param options - registry, slots and the request for one
   */
  constructor(private readonly options: OtherServerSearchOptions) {}

  /**
   * Calls a server. Once the head of the answer is overdue, looks for another
   * server, and gives the call up as soon as there is a slot on one.
   *
   * @param servers - makes the call
   * @param call - the call; its time limit for the first bytes is not used
   * @param overdueMs - time after which the head is overdue, milliseconds; 0 for never
   */
  async call(
    servers: ServerCaller,
    call: Omit<ServerCall, 'firstByteTimeoutMs'>,
    overdueMs: number,
  ): Promise<ServerReply | CallFailure> {
    this.calledServerId = call.server.id;
    const silence = new AbortController();
    const giveUp = (): void => silence.abort(SERVER_SILENT);
    const timeout =
      overdueMs > 0
        ? new Timeout(overdueMs, () => this.begin(giveUp))
        : undefined;
    const signal = AbortSignal.any([call.signal, silence.signal]);
    let reply: ServerReply | CallFailure;
    try {
      reply = await servers.call({...call, firstByteTimeoutMs: 0, signal});
    } finally {
      timeout?.cancel();
      this.end();
    }
    if (!silence.signal.aborted || reply.kind === 'failure') return reply;
    reply.drop();
    return {
      kind: 'failure',
      outcome: reply.isForwarded ? CallOutcome.ABANDONED : CallOutcome.SILENT,
      reason: 'the answer began when the call had been given up',
    };
  }

  /**
   * Begins to look for another server.
   *
   * @param giveUp - called once there is a slot on one, to end the call in progress
   */
  begin(giveUp: () => void): void {
    const stop = new AbortController();
    this.stop = stop;
    void this.find(stop.signal).then((slot) => {
      if (!slot) return;
      if (stop.signal.aborted) return slot.release(CallOutcome.ABANDONED);
      this.slot = slot;
      giveUp();
    });
  }

  /** Ends the search, as the call has got a response or has ended. */
  end(): void {
    this.stop?.abort();
    this.stop = undefined;
  }

  /** Whether there is a slot that was not taken. */
  hasSlot(): boolean {
    return this.slot !== undefined;
  }

  /** Takes the slot on another server, for which the call was given up. */
  takeSlot(): SlotGrant | undefined {
    const {slot} = this;
    this.slot = undefined;
    return slot;
  }

  /** Ends the search and releases a slot that was not taken. */
  close(): void {
    this.end();
    this.takeSlot()?.release(CallOutcome.ABANDONED);
  }

  private async find(signal: AbortSignal): Promise<SlotGrant | undefined> {
    const {clock, slotAllocator, createRequest} = this.options;
    const lostMs = clock.now() + MAX_SILENCE_MS;
    let responsiveIntervals = 0;
    while (!signal.aborted) {
      const request = createRequest();
      responsiveIntervals = this.isResponsive() ? responsiveIntervals + 1 : 0;
      const isLost =
        clock.now() >= lostMs ||
        responsiveIntervals >= RESPONSIVE_INTERVALS_TO_LOSE;
      if (isLost || this.hasOtherServer(request)) {
        const result = await slotAllocator.acquire(request, signal);
        if (result.kind === 'placed') {
          const isOther = !request.excluded.includes(result.server.id);
          if (isOther || isLost) return result;
          result.release(CallOutcome.ABANDONED);
        }
      }
      await clock.sleep(SEARCH_INTERVAL_MS, signal);
    }
    return undefined;
  }

  /** Whether the server of the call has lately responded to another one. */
  private isResponsive(): boolean {
    const {clock, reachability} = this.options;
    const responseMs = reachability.getLastResponseMs(this.calledServerId);
    return clock.now() - responseMs <= SEARCH_INTERVAL_MS;
  }

  private hasOtherServer(request: SlotRequest): boolean {
    const {registry} = this.options;
    const avoided = new Set([
      ...request.excluded,
      ...registry.listLeaving(request.service),
    ]);
    return registry
      .listServers(request.service)
      .some(
        (server) => isOfVersion(server, request) && !avoided.has(server.id),
      );
  }
}
