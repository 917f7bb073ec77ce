/**
 * Detects servers and zones that have become unreachable, so that no further
 * requests are lost on open connections that no longer work: because of a network
 * partition, a host that lost power, or a device on the path that lost its state
 * of the connections. A server or zone whose calls get no response is only
 * suspected; probing it with a new connection shows whether it is reachable.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import {CutOffTracker} from './cut_off_tracker.js';
import {ResponseTracker} from './response_tracker.js';
import {
  BrokenBodyError,
  type CallFailure,
  type ServerCall,
  type ServerCaller,
  type ServerReply,
} from './online_types.js';

/** Time without a response from any server of a zone, while several calls are unanswered, after which the zone is suspected, milliseconds: several times the usual pause between events. */
const ZONE_UNRESPONSIVE_MS = 200;

/** Minimum number of unanswered calls for a zone to be suspected. */
const MIN_UNANSWERED_ZONE_CALLS = 2;

/** Time without a response from a server after which it is suspected, milliseconds: few answers take as long. */
const SERVER_UNRESPONSIVE_MS = 400;

/** Interval between probes of a suspected server or zone, milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Suspected zones and servers. */
export interface UnreachableTargets {
  zones: string[];
  serverIds: string[];
}

/** Outcomes that show neither that a server responds nor that it does not: the network may have reset the connection. */
const INCONCLUSIVE_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.ABANDONED,
  CallOutcome.BROKEN,
]);

/** Outcomes of calls that ended because the server did not respond. */
export const UNANSWERED_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.SILENT,
  CallOutcome.UNREACHABLE,
]);

/** Server or zone whose reachability is monitored. */
interface MonitoredTarget {
  tracker: ResponseTracker;
  /** Servers of this target that were called and still exist, by id. */
  servers: Map<string, BackendServer>;
  isZone: boolean;
  /** Since when the target is suspected to be unreachable and is being probed, monotonic milliseconds; undefined while it is not. */
  suspectedSinceMs: number | undefined;
  /** When a probe last succeeded since the last response, monotonic milliseconds; undefined when none has. */
  lastProbeSuccessMs: number | undefined;
}

/** Makes calls to servers and monitors which servers and zones respond. */
export class ReachabilityMonitor implements ServerCaller {
  private readonly targets = new Map<string, MonitoredTarget>();
  private readonly cutOff: CutOffTracker;

  /**
   * @param inner - makes the calls and probes
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly inner: ServerCaller,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.cutOff = new CutOffTracker(clock, log);
  }

  /** {@inheritDoc ServerCaller.probe} */
  probe(server: BackendServer): Promise<boolean> {
    return this.inner.probe(server);
  }

  /** {@inheritDoc ServerCaller.replaceConnections} */
  replaceConnections(server: BackendServer): void {
    this.inner.replaceConnections(server);
  }

  /** {@inheritDoc ServerCaller.call} */
  async call(call: ServerCall): Promise<ServerReply | CallFailure> {
    const targets = [
      this.getTarget(`zone ${call.server.zone}`, true),
      this.getTarget(`server ${call.server.id}`, false),
    ];
    for (const {tracker, servers} of targets) {
      servers.set(call.server.id, call.server);
      tracker.beginCall(this.clock.now());
    }
    const reply = await this.inner.call(call);
    if (reply.kind === 'failure') {
      this.finishCall(targets, reply.outcome);
      this.recordFailure(call.server, reply.outcome);
      return reply;
    }
    this.recordResponse(targets);
    let isFinished = false;
    const finish = (outcome: CallOutcome): void => {
      if (isFinished) return;
      isFinished = true;
      this.finishCall(targets, outcome);
      this.recordFailure(call.server, outcome);
    };
    return {
      ...reply,
      body: this.watchBody(reply.body, targets, finish),
      drop: () => {
        finish(CallOutcome.ABANDONED);
        reply.drop();
      },
    };
  }

  /** Whether neither a server, nor its zone, nor all servers are suspected to be unreachable from this daemon. */
  isReachable(server: Pick<BackendServer, 'id' | 'zone'>): boolean {
    return !this.isCutOff() && this.getSuspectedSinceMs(server) === undefined;
  }

  /** Whether this daemon reaches no server, as far as its latest calls show. */
  isCutOff(): boolean {
    return this.cutOff.isCutOff();
  }

  /** Gets when a server last responded to a call of this daemon, monotonic milliseconds; negative infinity when it has not. */
  getLastResponseMs(serverId: string): number {
    const target = this.targets.get(`server ${serverId}`);
    return target?.tracker.getLastResponseMs() ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Gets since when the calls in progress to a server have been without a
   * response on their connections.
   *
   * @returns monotonic milliseconds; undefined while the server is not suspected
   *     or no call to it is in progress
   */
  getSilentCallsSinceMs(
    server: Pick<BackendServer, 'id' | 'zone'>,
  ): number | undefined {
    const target = this.targets.get(`server ${server.id}`);
    if (!target || target.tracker.isIdle()) return undefined;
    return this.getSuspectedSinceMs(server);
  }

  /** Whether other daemons should take this one for cut off. Also starts to probe the servers that have become unresponsive: there may be no request that does. */
  isCutOffForPeers(): boolean {
    this.markUnresponsive();
    return this.cutOff.isCutOffForPeers();
  }

  private getSuspectedSinceMs({
    id,
    zone,
  }: Pick<BackendServer, 'id' | 'zone'>): number | undefined {
    return (
      this.targets.get(`server ${id}`)?.suspectedSinceMs ??
      this.targets.get(`zone ${zone}`)?.suspectedSinceMs
    );
  }

  /**
   * Lists the suspected zones and servers, which get no new work directly from
   * this daemon. Also starts to probe those that have become unresponsive.
   */
  listUnreachable(): UnreachableTargets {
    const unreachable: UnreachableTargets = {zones: [], serverIds: []};
    this.markUnresponsive();
    for (const [name, target] of this.targets) {
      if (target.suspectedSinceMs === undefined) continue;
      const names = target.isZone ? unreachable.zones : unreachable.serverIds;
      names.push(name.slice(name.indexOf(' ') + 1));
    }
    return unreachable;
  }

  /** Starts to probe the servers and zones that have become unresponsive since the last call. */
  markUnresponsive(): void {
    const nowMs = this.clock.now();
    for (const [name, target] of this.targets) {
      if (target.suspectedSinceMs !== undefined) continue;
      if (!this.isUnresponsive(target, nowMs)) continue;
      this.markSuspected(name, target);
      if (target.isZone) continue;
      for (const id of target.servers.keys()) this.cutOff.recordSilence(id);
    }
  }

  /**
   * Removes servers that no longer exist, and targets without servers.
   *
   * @param isKnown - whether a server still exists
   */
  removeUnknownServers(isKnown: (serverId: string) => boolean): void {
    this.cutOff.removeUnknownServers(isKnown);
    for (const [name, {servers, tracker}] of this.targets) {
      for (const id of servers.keys()) {
        if (!isKnown(id)) servers.delete(id);
      }
      if (servers.size === 0 && tracker.isIdle()) this.targets.delete(name);
    }
  }

  private isUnresponsive(
    {tracker, isZone, lastProbeSuccessMs}: MonitoredTarget,
    nowMs: number,
  ) {
    // After a successful probe, the open connections get the same time again.
    const unresponsiveSinceMs = Math.max(
      tracker.getUnresponsiveSinceMs(),
      lastProbeSuccessMs ?? 0,
    );
    return isZone
      ? tracker.countUnansweredCalls() >= MIN_UNANSWERED_ZONE_CALLS &&
          nowMs - unresponsiveSinceMs > ZONE_UNRESPONSIVE_MS
      : tracker.countUnansweredCalls() > 0 &&
          nowMs - unresponsiveSinceMs > SERVER_UNRESPONSIVE_MS;
  }

  private markSuspected(name: string, target: MonitoredTarget): void {
    target.suspectedSinceMs = this.clock.now();
    // A probe succeeded before, but the open connections still bring no response,
    // so they no longer work.
    if (target.lastProbeSuccessMs !== undefined) {
      for (const server of target.servers.values())
        this.inner.replaceConnections(server);
    }
    this.log.record(ServingEvent.SERVERS_UNRESPONSIVE, {
      peer: name,
      openCalls: target.tracker.countUnansweredCalls(),
      isConnectable: target.lastProbeSuccessMs !== undefined,
    });
    void this.probeUntilReachable(name, target);
  }

  /** Probes the servers of a suspected target round robin until one of them accepts a connection. */
  private async probeUntilReachable(
    name: string,
    target: MonitoredTarget,
  ): Promise<void> {
    const sinceMs = target.suspectedSinceMs;
    const isSuspected = (): boolean => target.suspectedSinceMs === sinceMs;
    for (let attempt = 0; isSuspected(); attempt++) {
      const servers = [...target.servers.values()];
      const server = servers[attempt % Math.max(1, servers.length)];
      if (!server) {
        target.suspectedSinceMs = undefined;
        return;
      }
      if (await this.inner.probe(server)) break;
      await this.clock.sleep(PROBE_INTERVAL_MS);
    }
    if (!isSuspected()) return;
    target.suspectedSinceMs = undefined;
    target.lastProbeSuccessMs = this.clock.now();
    target.tracker.recordProbeSuccess();
    this.cutOff.recordReach();
    this.log.record(ServingEvent.SERVERS_RECOVERED, {peer: name});
  }

  /** Passes the body of an answer on and records the response and the end of the call. */
  private async *watchBody(
    body: AsyncIterable<Buffer>,
    targets: readonly MonitoredTarget[],
    finish: (outcome: CallOutcome) => void,
  ): AsyncGenerator<Buffer, void, void> {
    let outcome = CallOutcome.ABANDONED;
    try {
      for await (const bytes of body) {
        this.recordResponse(targets);
        yield bytes;
      }
      outcome = CallOutcome.SUCCEEDED;
    } catch (thrown) {
      if (thrown instanceof BrokenBodyError) outcome = thrown.outcome;
      throw thrown;
    } finally {
      finish(outcome);
    }
  }

  private recordResponse(targets: readonly MonitoredTarget[]): void {
    const nowMs = this.clock.now();
    for (const target of targets) {
      target.tracker.recordResponse(nowMs);
      target.suspectedSinceMs = undefined;
      target.lastProbeSuccessMs = undefined;
    }
    this.cutOff.recordReach();
  }

  /** Suspects a server at once to which no connection could be established, and counts the servers that don't respond. */
  private recordFailure(server: BackendServer, outcome: CallOutcome): void {
    if (!UNANSWERED_OUTCOMES.has(outcome)) return;
    if (outcome === CallOutcome.UNREACHABLE) {
      const name = `server ${server.id}`;
      const target = this.targets.get(name);
      if (target && target.suspectedSinceMs === undefined) {
        this.markSuspected(name, target);
      }
    }
    this.cutOff.recordSilence(server.id);
  }

  private finishCall(
    targets: readonly MonitoredTarget[],
    outcome: CallOutcome,
  ): void {
    const isUnanswered = UNANSWERED_OUTCOMES.has(outcome);
    if (!INCONCLUSIVE_OUTCOMES.has(outcome) && !isUnanswered)
      this.recordResponse(targets);
    for (const {tracker} of targets) tracker.finishCall(isUnanswered);
  }

  private getTarget(name: string, isZone: boolean): MonitoredTarget {
    let target = this.targets.get(name);
    if (!target) {
      target = {
        tracker: new ResponseTracker(),
        servers: new Map(),
        isZone,
        suspectedSinceMs: undefined,
        lastProbeSuccessMs: undefined,
      };
      this.targets.set(name, target);
    }
    return target;
  }
}
