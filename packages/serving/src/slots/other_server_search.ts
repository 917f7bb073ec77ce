/**
 * Looks for another server while a call gets no response. The call goes on
 * meanwhile: its server may be silent for a while and continue.
 */
import {type Clock, Timeout} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {
  type CallFailure,
  CONNECTION_LOST,
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
  /** Creates the request for a slot; the search sets the servers that it excludes. */
  createRequest: () => SlotRequest;
}

/** Ends a call, with the reason for the abort of its signal. */
export type CallEnd = (
  reason: typeof SERVER_SILENT | typeof CONNECTION_LOST,
) => void;

/** Search for a server to which a request can go instead of the one that it was sent to. */
export class OtherServerSearch {
  private stop: AbortController | undefined;
  private slot: SlotGrant | undefined;
  /** Server of the latest call. */
  private calledServerId = '';
  /** Servers whose calls were given up. */
  private readonly silentServerIds = new Set<string>();

  /**
   * @param options - registry, slots and the request for one
   */
  constructor(private readonly options: OtherServerSearchOptions) {}

  /**
   * Calls a server. Once the head of the answer is overdue, looks for another
   * server, and gives the call up as soon as there is a slot on one, or the
   * connection counts as lost.
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
    const end = new AbortController();
    const abort = (): void => end.abort(call.signal.reason);
    call.signal.addEventListener('abort', abort, {once: true});
    if (call.signal.aborted) abort();
    const removeListener = (): void =>
      call.signal.removeEventListener('abort', abort);
    const timeout =
      overdueMs > 0
        ? new Timeout(overdueMs, () =>
            this.begin((reason) => end.abort(reason)),
          )
        : undefined;
    let reply: ServerReply | CallFailure;
    try {
      reply = await servers.call({
        ...call,
        firstByteTimeoutMs: 0,
        signal: end.signal,
      });
    } finally {
      timeout?.cancel();
      this.end();
    }
    if (reply.kind === 'failure') {
      removeListener();
      return reply;
    }
    if (call.signal.aborted || !end.signal.aborted) {
      return {
        ...reply,
        body: readThenCall(reply.body, removeListener),
        drop: () => {
          removeListener();
          reply.drop();
        },
      };
    }
    removeListener();
    reply.drop();
    const isOfServer =
      !reply.isForwarded && end.signal.reason === SERVER_SILENT;
    return {
      kind: 'failure',
      outcome: isOfServer ? CallOutcome.SILENT : CallOutcome.ABANDONED,
      reason: 'the answer began when the call had been given up',
    };
  }

  /**
   * Begins to look for another server, and whether the connection is lost.
   *
   * @param endCall - called once to end the call in progress
   */
  begin(endCall: CallEnd): void {
    const stop = new AbortController();
    const {signal} = stop;
    this.stop = stop;
    const giveUp: CallEnd = (reason) => {
      this.end();
      this.silentServerIds.add(this.calledServerId);
      endCall(reason);
    };
    void this.find(signal).then((slot) => {
      if (!slot) return;
      if (signal.aborted) return slot.release(CallOutcome.ABANDONED);
      this.slot = slot;
      giveUp(SERVER_SILENT);
    });
    void this.waitForLoss(signal).then((reason) => {
      if (reason !== undefined && !signal.aborted) giveUp(reason);
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

  /** Whether a call to a server was given up, so that its connections may be lost. */
  isGivenUp(serverId: string): boolean {
    return this.silentServerIds.has(serverId);
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
    const {clock, slotAllocator} = this.options;
    while (!signal.aborted) {
      const request = this.createRequest();
      if (this.hasOtherServer(request)) {
        const result = await slotAllocator.acquire(request, signal);
        if (result.kind === 'placed') {
          if (!request.excluded.includes(result.server.id)) return result;
          result.release(CallOutcome.ABANDONED);
        }
      }
      await clock.sleep(SEARCH_INTERVAL_MS, signal);
    }
    return undefined;
  }

  /**
   * Waits until the connection of the call counts as lost and its server can be
   * called again; gives undefined when the signal is aborted before. A call to a
   * server that accepts no new work may be all that its request has left.
   */
  private async waitForLoss(
    signal: AbortSignal,
  ): Promise<Parameters<CallEnd>[0] | undefined> {
    const {clock} = this.options;
    const silenceEndMs = clock.now() + MAX_SILENCE_MS;
    let responsiveIntervals = 0;
    while (!signal.aborted) {
      responsiveIntervals = this.isResponsive() ? responsiveIntervals + 1 : 0;
      const request = this.createRequest();
      if (this.isCalledServerListed(request)) {
        if (responsiveIntervals >= RESPONSIVE_INTERVALS_TO_LOSE)
          return CONNECTION_LOST;
        const isSilentTooLong = clock.now() >= silenceEndMs;
        if (isSilentTooLong && !this.hasOtherServer(request))
          return SERVER_SILENT;
      }
      await clock.sleep(SEARCH_INTERVAL_MS, signal);
    }
    return undefined;
  }

  /** Creates the request for a slot on another server than those that were silent. */
  private createRequest(): SlotRequest {
    const excluded = [...this.silentServerIds, this.calledServerId];
    return {...this.options.createRequest(), excluded};
  }

  /** Whether the server of the call has lately responded to another one. */
  private isResponsive(): boolean {
    const {clock, reachability} = this.options;
    const responseMs = reachability.getLastResponseMs(this.calledServerId);
    return clock.now() - responseMs <= SEARCH_INTERVAL_MS;
  }

  /** Whether the server of the call accepts new work. */
  private isCalledServerListed({service}: SlotRequest): boolean {
    return this.options.registry
      .listServers(service)
      .some(({id}) => id === this.calledServerId);
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

/** Passes a body on; calls a listener once it has ended or is no longer read. */
async function* readThenCall(
  body: AsyncIterable<Buffer>,
  notifyEnd: () => void,
): AsyncGenerator<Buffer, void, void> {
  try {
    yield* body;
  } finally {
    notifyEnd();
  }
}
