/**
 * Notices that servers fall silent, so that no further requests are lost on open
 * connections that lead nowhere: behind a network partition, on a host without
 * power, or after something between has lost track of the connections. Silence
 * is only suspected; a connect tells whether the way is open.
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

/** Silence of all servers of a zone, with several calls open, from which it is suspected, milliseconds: several times the usual pause between events. */
const ZONE_SILENT_MS = 200;

/** Calls without any answer that make the silence of a zone suspect. */
const ZONE_SILENT_CALLS = 2;

/** Silence of one server from which it is suspected, milliseconds: few answers take as long. */
const SERVER_SILENT_MS = 400;

/** Period in which a suspect is connected to, milliseconds. */
const PROBE_MS = 250;

/** Zones and servers that get no new work from this daemon for now. */
export interface UnreachableTargets {
  zones: string[];
  serverIds: string[];
}

/** Outcomes after which it is still open whether the server is reached. */
const SILENT_OUTCOMES = new Set([CallOutcome.SILENT, CallOutcome.UNREACHABLE]);

/** What is watched under one name. */
interface Subject {
  state: ResponseTracker;
  /** Servers that were called of late, by id. */
  servers: Map<string, BackendServer>;
  isZone: boolean;
  /** Whether it is suspected and connected to. */
  isAvoided: boolean;
  /** When a connect last succeeded although nothing was heard, monotonic milliseconds. */
  connectedMs: number | undefined;
}

/** Calls servers and remembers which of them are heard of. */
export class ReachabilityMonitor implements ServerCaller {
  private readonly subjects = new Map<string, Subject>();

  /**
   * @param inner - makes the calls
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

  /** {@inheritDoc ServerCaller.renew} */
  replaceConnections(server: BackendServer): void {
    this.inner.replaceConnections(server);
  }

  /** {@inheritDoc ServerCaller.call} */
  async call(call: ServerCall): Promise<ServerReply | CallFailure> {
    const watched = [
      this.getSubject(`zone ${call.server.zone}`, true),
      this.getSubject(`server ${call.server.id}`, false),
    ];
    for (const {state, servers} of watched) {
      servers.set(call.server.id, call.server);
      state.begin(this.clock.now());
    }
    const reply = await this.inner.call(call);
    if (reply.kind === 'failure') {
      this.finish(watched, reply.outcome);
      return reply;
    }
    this.recordHeard(watched);
    let isFinished = false;
    const finish = (outcome: CallOutcome): void => {
      if (!isFinished) this.finish(watched, outcome);
      isFinished = true;
    };
    return {
      ...reply,
      body: this.watchBody(reply.body, watched, finish),
      drop: () => {
        finish(CallOutcome.ABANDONED);
        reply.drop();
      },
    };
  }

  /**
   * Lists what gets no new work from this daemon; starts to connect to what has
   * fallen silent since the last look.
   */
  listUnreachable(): UnreachableTargets {
    const avoidance: UnreachableTargets = {zones: [], serverIds: []};
    const nowMs = this.clock.now();
    for (const [name, subject] of this.subjects) {
      if (!subject.isAvoided && this.isSilent(subject, nowMs)) {
        this.startAvoiding(name, subject);
      }
      if (subject.isAvoided) {
        const names = subject.isZone ? avoidance.zones : avoidance.serverIds;
        names.push(name.slice(name.indexOf(' ') + 1));
      }
    }
    return avoidance;
  }

  /** Forgets servers that are gone. */
  keep(isKnown: (serverId: string) => boolean): void {
    for (const [name, {servers, state}] of this.subjects) {
      for (const id of servers.keys()) {
        if (!isKnown(id)) servers.delete(id);
      }
      if (servers.size === 0 && state.isIdle()) this.subjects.delete(name);
    }
  }

  private isSilent({state, isZone, connectedMs}: Subject, nowMs: number) {
    // After a connect the open connections get the same time again.
    const sinceMs = Math.max(state.getSilentSinceMs(), connectedMs ?? 0);
    return isZone
      ? state.countOpen() >= ZONE_SILENT_CALLS &&
          nowMs - sinceMs > ZONE_SILENT_MS
      : state.countOpen() > 0 && nowMs - sinceMs > SERVER_SILENT_MS;
  }

  private startAvoiding(name: string, subject: Subject): void {
    subject.isAvoided = true;
    // Connects worked, and still nothing comes on the open connections.
    if (subject.connectedMs !== undefined) {
      for (const server of subject.servers.values())
        this.inner.replaceConnections(server);
    }
    this.log.record(ServingEvent.SERVERS_UNRESPONSIVE, {
      peer: name,
      openCalls: subject.state.countOpen(),
      isConnectable: subject.connectedMs !== undefined,
    });
    void this.connect(name, subject);
  }

  /** Connects to the servers of a suspect in turn until one of them answers. */
  private async connect(name: string, subject: Subject): Promise<void> {
    for (let turn = 0; subject.isAvoided; turn++) {
      const servers = [...subject.servers.values()];
      const server = servers[turn % Math.max(1, servers.length)];
      if (!server || (await this.inner.probe(server))) break;
      await this.clock.sleep(PROBE_MS);
    }
    if (!subject.isAvoided) return;
    subject.isAvoided = false;
    subject.connectedMs = this.clock.now();
    subject.state.recordConnected();
    this.log.record(ServingEvent.SERVERS_RECOVERED, {peer: name});
  }

  private async *watchBody(
    body: AsyncIterable<Buffer>,
    watched: readonly Subject[],
    finish: (outcome: CallOutcome) => void,
  ): AsyncGenerator<Buffer, void, void> {
    let outcome = CallOutcome.ABANDONED;
    try {
      for await (const bytes of body) {
        this.recordHeard(watched);
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

  private recordHeard(watched: readonly Subject[]): void {
    const nowMs = this.clock.now();
    for (const subject of watched) {
      subject.state.recordHeard(nowMs);
      subject.isAvoided = false;
      subject.connectedMs = undefined;
    }
  }

  private finish(watched: readonly Subject[], outcome: CallOutcome): void {
    const isOpen = SILENT_OUTCOMES.has(outcome);
    const isHeard = !isOpen && outcome !== CallOutcome.ABANDONED;
    if (isHeard) this.recordHeard(watched);
    for (const {state} of watched) state.finish(isOpen);
  }

  private getSubject(name: string, isZone: boolean): Subject {
    let subject = this.subjects.get(name);
    if (!subject) {
      subject = {
        state: new ResponseTracker(),
        servers: new Map(),
        isZone,
        isAvoided: false,
        connectedMs: undefined,
      };
      this.subjects.set(name, subject);
    }
    return subject;
  }
}
