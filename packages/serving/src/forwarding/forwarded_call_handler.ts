/** Calls backend servers for daemons that can't reach them. */
import {
  type Clock,
  type EventLog,
  ServingEvent,
  toSavoryspurError,
} from '@savoryspur/common';
import type {StreamCall, StreamWriter} from '@savoryspur/fleet';
import {
  CallOutcome,
  type ForwardedCall,
  type ForwardedFailure,
  formatFieldError,
  type ProbeAnswer,
  validateForwardedCall,
} from '@savoryspur/schema';
import type {EnvironmentView} from '../environment.js';
import {BrokenBodyError, type ServerReply} from '../online/online_types.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {probeServer} from './probe_server.js';

/** Components that the handling of forwarded calls uses. */
export interface ForwardedCallOptions {
  /** Calls servers directly, so that a call is forwarded at most once. */
  direct: ReachabilityMonitor;
  registry: ServiceRegistry<EnvironmentView>;
  clock: Clock;
  log: EventLog;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Calls servers for other daemons. */
export class ForwardedCallHandler {
  private activeCalls = 0;
  private isStopping = false;

  /**
   * @param options - direct calls to servers, and the registry that lists them
   */
  constructor(private readonly options: ForwardedCallOptions) {}

  /** Counts the calls in progress; a call is in progress until the connection has taken its answer. */
  countActive(): number {
    return this.activeCalls;
  }

  /** Refuses all calls from now on; those in progress continue. */
  refuseNewCalls(): void {
    this.isStopping = true;
  }

  /** Makes one call, or refuses it before anything is sent. */
  async serve(call: StreamCall, writer: StreamWriter): Promise<void> {
    const input = validateForwardedCall(call.input);
    if (input.isErr()) {
      return writer.refuse(formatFieldError(input.error));
    }
    const server = this.findServer(input.value.serverId);
    if (typeof server === 'string') return writer.refuse(server);
    this.activeCalls += 1;
    try {
      await this.callServer(input.value, server, call, writer);
    } finally {
      this.activeCalls -= 1;
    }
  }

  /**
   * Checks whether a server accepts a connection of this daemon.
   *
   * @returns no result when this daemon can't tell
   */
  async probe(serverId: string): Promise<ProbeAnswer> {
    const server = this.options.registry.findServer(serverId);
    if (!server) return {};
    return {isReachable: await probeServer(this.options, server)};
  }

  /** Finds the server to call, or the reason for which this daemon does not call it. */
  private findServer(serverId: string): BackendServer | string {
    const {direct, registry} = this.options;
    if (this.isStopping) return 'this daemon is stopping';
    const server = registry.findServer(serverId);
    if (!server) return `no server ${serverId} accepts new work`;
    direct.markUnresponsive();
    if (!direct.isReachable(server)) return 'this daemon does not reach it';
    return server;
  }

  private async callServer(
    input: ForwardedCall,
    server: BackendServer,
    {body, caller, signal}: StreamCall,
    writer: StreamWriter,
  ): Promise<void> {
    const {clock, log, direct, registry} = this.options;
    const startMs = clock.now();
    // The calling daemon may have another version of the environment.
    const service = registry.getEnvironment()?.findService(server.service);
    const maxConnections = service?.maxConnections ?? input.maxConnections;
    const reply = await direct.call({
      ...input,
      maxConnections,
      server,
      body,
      signal,
    });
    let failure: ForwardedFailure | undefined;
    let taken: Promise<void>;
    if (reply.kind === 'failure') {
      const {outcome, reason, headers} = reply;
      failure = {outcome, reason};
      writer.begin({failure, headers});
      taken = writer.end({});
    } else {
      const {head, isSigned, isDelimited} = reply;
      writer.begin({...head, isSigned, isDelimited});
      failure = await forwardBody(reply, writer);
      taken = writer.end({failure});
    }
    log.record(ServingEvent.FORWARDED_CALL_SERVED, {
      requestId: input.requestId,
      caller: caller.host,
      peer: server.id,
      outcome: failure?.outcome ?? CallOutcome.SUCCEEDED,
      reason: failure?.reason,
      totalMs: Math.round(clock.now() - startMs),
    });
    await taken;
  }
}

/** Passes the body of an answer on; gives the failure that cut it short, if any. */
async function forwardBody(
  reply: ServerReply,
  writer: StreamWriter,
): Promise<ForwardedFailure | undefined> {
  try {
    for await (const bytes of reply.body) await writer.write(bytes);
    return undefined;
  } catch (thrown) {
    const origin = {step: 'forwarded.body', peer: 'server'};
    const {message} = toSavoryspurError(thrown, origin);
    const outcome =
      thrown instanceof BrokenBodyError ? thrown.outcome : CallOutcome.BROKEN;
    return {outcome, reason: message};
  }
}
