/**
 * Watches the servers of one pool: reads their load, finds those that turned
 * cold or crashed, and decides whether a broken connection was a crash.
 */
import {
  ErrorCode,
  RoutingEvent,
  type SavoryspurError,
} from '@savoryspur/common';
import {
  type EngineLoad,
  SlotUsageEnd,
  type SlotRelease,
} from '@savoryspur/schema';
import {CrashVerdict} from './crash_tracker.js';
import type {OwnerContext} from './owner_context.js';
import type {Grant, ServerSlots} from './server_slots.js';
import {type LoadRead, LoadPoller} from './load_poller.js';

/** Time for which signs of cold servers are compared, milliseconds. */
const COLD_SIGN_MS = 10_000;

/** Tells whether a load read failed because nothing listens any more. */
function isGone(error: SavoryspurError): boolean {
  const cause = error.cause as {code?: string} | undefined;
  return error.code === ErrorCode.UNAVAILABLE && cause?.code === 'ECONNREFUSED';
}

/** Watches the servers of one pool. */
export class ServerMonitor {
  private readonly watches = new Map<ServerSlots, LoadPoller>();
  private coldSigns: Array<{server: ServerSlots; atMs: number}> = [];
  private readonly verdictOpenedMs = new Map<string, number>();

  /**
   * @param context - what the owner works with
   * @param handleChange - called when places may have become free
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly handleChange: () => void,
  ) {}

  /** Watches exactly the given servers. */
  run(servers: readonly ServerSlots[]): void {
    if (this.isSame(servers)) return;
    const wanted = new Set(servers);
    for (const [server, watch] of this.watches) {
      if (wanted.has(server)) continue;
      watch.stop();
      this.watches.delete(server);
    }
    for (const server of servers) {
      if (!this.watches.has(server)) this.start(server);
    }
  }

  /** Stops all watches. */
  stop(): void {
    for (const watch of this.watches.values()) watch.stop();
    this.watches.clear();
  }

  /** Draws what follows from the end of one use of a place. */
  observeEnd(server: ServerSlots, grant: Grant, release: SlotRelease): void {
    const {crashes, log} = this.context;
    if (release.end === SlotUsageEnd.CRASHED) this.openVerdict(server, grant);
    if (release.end === SlotUsageEnd.NOT_SENT) {
      this.watches.get(server)?.probe();
    }
    if (release.end === SlotUsageEnd.COMPLETED) {
      crashes.clearSuspect(grant.fingerprint);
      if (server.warmth.recordCompletion()) {
        log.record(RoutingEvent.SERVER_WARM, {peer: server.server.id});
      }
    }
    const isCold = server.recordEnd(grant, release);
    if (isCold) this.handleColdSign(server, release.end);
  }

  /** Ends verdicts that no load read decided. */
  expireVerdicts(): void {
    const {clock, crashes, settings} = this.context;
    crashes.tracker.expire();
    for (const server of this.watches.keys()) {
      const verdict = crashes.tracker.findVerdict(server.server.id);
      if (!verdict) continue;
      if (clock.now() - verdict.openedMs < settings.verdictMs) continue;
      this.closeVerdict(server, CrashVerdict.UNKNOWN);
    }
  }

  private isSame(servers: readonly ServerSlots[]): boolean {
    if (servers.length !== this.watches.size) return false;
    return servers.every((server) => this.watches.has(server));
  }

  private start(server: ServerSlots): void {
    const {clock, loadReader} = this.context;
    const watch = new LoadPoller(server, {
      clock,
      loadReader,
      handleRead: (watched, read) => this.handleRead(watched, read),
      getPeriodMs: (watched) => this.getPeriodMs(watched),
    });
    this.watches.set(server, watch);
    void watch.run();
  }

  /** Gets the time to the next load read of a server. */
  private getPeriodMs(server: ServerSlots): number {
    const {clock, crashes, settings} = this.context;
    const isUrgent =
      crashes.tracker.findVerdict(server.server.id) !== undefined ||
      server.isReportTrusted(clock.now());
    if (isUrgent) return settings.verdictPollMs;
    return server.isOpen() ? settings.loadPollMs : settings.closedPollMs;
  }

  private handleRead(server: ServerSlots, read: LoadRead): void {
    const bootBefore = server.reported?.boot;
    read.result.match(
      (load) => this.handleLoad(server, load, read.startedMs),
      (error) => this.handleFailedRead(server, error),
    );
    const isChanged = server.reported?.boot !== bootBefore;
    if (isChanged || read.result.isOk()) this.handleChange();
  }

  private handleLoad(
    server: ServerSlots,
    load: EngineLoad,
    startedMs: number,
  ): void {
    const {clock, crashes, settings} = this.context;
    const verdict = crashes.tracker.findVerdict(server.server.id);
    if (server.recordLoad(load)) this.markCold(server, 'boot marker');
    server.keepTrust(clock.now(), settings.trustReportMs);
    if (!verdict) return;
    if (verdict.boot !== load.boot) {
      this.closeVerdict(server, CrashVerdict.CRASHED);
      return;
    }
    if (startedMs - verdict.openedMs < settings.reportLagMs) return;
    this.closeVerdict(server, CrashVerdict.RUNNING);
  }

  private handleFailedRead(server: ServerSlots, error: SavoryspurError): void {
    const wasOpen = server.isOpen();
    server.recordFailedRead(isGone(error));
    if (wasOpen && !server.isOpen()) {
      this.context.log.record(RoutingEvent.SERVER_UNREACHABLE, {
        step: error.origin.step,
        peer: server.server.id,
      });
    }
    const verdict = this.context.crashes.tracker.findVerdict(server.server.id);
    if (verdict && isGone(error)) {
      this.closeVerdict(server, CrashVerdict.CRASHED);
    }
  }

  /** Suspects all requests in flight on a server whose connection broke. */
  private openVerdict(server: ServerSlots, grant: Grant): void {
    const {clock, crashes} = this.context;
    const id = server.server.id;
    const openedMs = this.verdictOpenedMs.get(id);
    if (openedMs !== undefined && grant.grantedMs <= openedMs) return;
    const inFlight = [...server.grants.values()].map((g) => g.fingerprint);
    const boot = server.reported?.boot ?? '';
    const isNew = crashes.openVerdict(id, boot, inFlight);
    if (!isNew) return;
    this.verdictOpenedMs.set(id, clock.now());
    server.isDoubted = true;
    this.watches.get(server)?.probe();
  }

  private closeVerdict(server: ServerSlots, verdict: CrashVerdict): void {
    const {counters, crashes, log} = this.context;
    const id = server.server.id;
    server.isDoubted = false;
    crashes.closeVerdict(id, verdict);
    if (verdict !== CrashVerdict.CRASHED) return;
    counters.crashes += 1;
    log.record(RoutingEvent.SERVER_CRASHED, {peer: id});
    this.markCold(server, 'crash');
  }

  /**
   * Treats a server as cold by what its answers show, unless so many of the
   * pool's servers show it that the cause must lie elsewhere.
   */
  private handleColdSign(server: ServerSlots, end: SlotUsageEnd): void {
    const {clock} = this.context;
    const nowMs = clock.now();
    this.coldSigns = this.coldSigns.filter(
      (sign) => nowMs - sign.atMs < COLD_SIGN_MS && sign.server !== server,
    );
    const isCommon = this.coldSigns.length * 2 >= this.watches.size;
    this.coldSigns.push({server, atMs: nowMs});
    if (isCommon && this.watches.size > 1) return;
    this.markCold(server, end);
  }

  private markCold(server: ServerSlots, reason: string): void {
    const {counters, log} = this.context;
    server.resetWarmth();
    counters.coldServers += 1;
    log.record(RoutingEvent.SERVER_COLD, {peer: server.server.id, reason});
  }
}
