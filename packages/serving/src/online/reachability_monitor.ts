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

/** Suspected zones and servers, which get no new work from this daemon. */
export interface UnreachableTargets {
  zones: string[];
  serverIds: string[];
}

/** Outcomes of calls that ended because the server did not respond. */
const UNANSWERED_OUTCOMES = new Set([
  CallOutcome.SILENT,
  CallOutcome.UNREACHABLE,
]);

/** Server or zone whose reachability is monitored. */
interface MonitoredTarget {
  tracker: ResponseTracker;
  /** Servers of this target that were called and still exist, by id. */
  servers: Map<string, BackendServer>;
  isZone: boolean;
  /** Whether the target is suspected to be unreachable and is being probed. */
  isSuspected: boolean;
  /** When a probe last succeeded since the last response, monotonic milliseconds; undefined when none has. */
  lastProbeSuccessMs: number | undefined;
}

/** Makes calls to servers and monitors which servers and zones respond. */
export class ReachabilityMonitor implements ServerCaller {
  private readonly targets = new Map<string, MonitoredTarget>();

  /**
   * @param inner - makes the calls and probes
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly inner: ServerCaller,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

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
      return reply;
    }
    this.recordResponse(targets);
    let isFinished = false;
    const finish = (outcome: CallOutcome): void => {
      if (!isFinished) this.finishCall(targets, outcome);
      isFinished = true;
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

  /**
   * Lists the suspected zones and servers, which get no new work from this daemon.
   * Also starts to probe those that have become unresponsive since the last call.
   */
  listUnreachable(): UnreachableTargets {
    const unreachable: UnreachableTargets = {zones: [], serverIds: []};
    const nowMs = this.clock.now();
    for (const [name, target] of this.targets) {
      if (!target.isSuspected && this.isUnresponsive(target, nowMs)) {
        this.markSuspected(name, target);
      }
      if (target.isSuspected) {
        const names = target.isZone ? unreachable.zones : unreachable.serverIds;
        names.push(name.slice(name.indexOf(' ') + 1));
      }
    }
    return unreachable;
  }

  /**
   * Removes servers that no longer exist, and targets without servers.
   *
   * @param isKnown - whether a server still exists
   */
  removeUnknownServers(isKnown: (serverId: string) => boolean): void {
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
    target.isSuspected = true;
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
    for (let attempt = 0; target.isSuspected; attempt++) {
      const servers = [...target.servers.values()];
      const server = servers[attempt % Math.max(1, servers.length)];
      if (!server || (await this.inner.probe(server))) break;
      await this.clock.sleep(PROBE_INTERVAL_MS);
    }
    if (!target.isSuspected) return;
    target.isSuspected = false;
    target.lastProbeSuccessMs = this.clock.now();
    target.tracker.recordProbeSuccess();
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
      target.isSuspected = false;
      target.lastProbeSuccessMs = undefined;
    }
  }

  private finishCall(
    targets: readonly MonitoredTarget[],
    outcome: CallOutcome,
  ): void {
    const isUnanswered = UNANSWERED_OUTCOMES.has(outcome);
    const isAnswered = !isUnanswered && outcome !== CallOutcome.ABANDONED;
    if (isAnswered) this.recordResponse(targets);
    for (const {tracker} of targets) tracker.finishCall(isUnanswered);
  }

  private getTarget(name: string, isZone: boolean): MonitoredTarget {
    let target = this.targets.get(name);
    if (!target) {
      target = {
        tracker: new ResponseTracker(),
        servers: new Map(),
        isZone,
        isSuspected: false,
        lastProbeSuccessMs: undefined,
      };
      this.targets.set(name, target);
    }
    return target;
  }
}
