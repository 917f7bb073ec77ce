/**
 * Monitors the servers of one pool: polls their load reports, detects servers
 * that have become cold or have crashed, and runs the crash checks that decide
 * whether a broken connection was a crash of the server.
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
import {getCrashFingerprint} from './crash_fingerprint.js';
import {CrashCheckResult} from './crash_tracker.js';
import type {OwnerContext} from './owner_context.js';
import type {Grant, ServerSlots} from './server_slots.js';
import {type LoadRead, LoadPoller} from './load_poller.js';

/**
 * Time window in which cold detections of several servers count as pool-wide,
 * milliseconds.
 */
const COLD_DETECTION_WINDOW_MS = 10_000;

/**
 * Tells whether a read of the load report failed because the server refused the
 * connection.
 */
function isConnectionRefused(error: SavoryspurError): boolean {
  const cause = error.cause as {code?: string} | undefined;
  return error.code === ErrorCode.UNAVAILABLE && cause?.code === 'ECONNREFUSED';
}

/** Monitors the servers of one pool. */
export class ServerMonitor {
  private readonly pollers = new Map<ServerSlots, LoadPoller>();
  private coldDetections: Array<{server: ServerSlots; detectedMs: number}> = [];
  private readonly crashCheckStartedMs = new Map<string, number>();

  /**
   * @param context - dependencies of the pool owner
   * @param handleFreedSlots - called when slots may have become free
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly handleFreedSlots: () => void,
  ) {}

  /** Polls exactly the given servers: starts and stops pollers as needed. */
  watchServers(servers: readonly ServerSlots[]): void {
    if (this.isWatchingExactly(servers)) return;
    const wanted = new Set(servers);
    for (const [server, poller] of this.pollers) {
      if (wanted.has(server)) continue;
      poller.stop();
      this.pollers.delete(server);
    }
    for (const server of servers) {
      if (!this.pollers.has(server)) this.startPoller(server);
    }
  }

  /** Stops all pollers. */
  stop(): void {
    for (const poller of this.pollers.values()) poller.stop();
    this.pollers.clear();
  }

  /**
   * Updates warm-up, cold detection and crash checks after the use of a slot
   * has ended.
   */
  observeUsageEnd(
    server: ServerSlots,
    grant: Grant,
    release: SlotRelease,
  ): void {
    const {coordinator, log} = this.context;
    if (release.end === SlotUsageEnd.CRASHED)
      this.startCrashCheck(server, grant);
    if (release.end === SlotUsageEnd.NOT_SENT) {
      this.pollers.get(server)?.pollNow();
    }
    if (release.end === SlotUsageEnd.COMPLETED) {
      coordinator.clearSuspect(grant.fingerprint);
      if (server.warmUp.recordCompletion()) {
        log.record(RoutingEvent.SERVER_WARM, {peer: server.server.id});
      }
    }
    const isCold = server.recordUsageEnd(grant, release);
    if (isCold) this.handleColdDetection(server, release.end);
  }

  /**
   * Drops expired suspects and ends crash checks that no load report has
   * decided in time.
   */
  expireCrashChecks(): void {
    const {clock, coordinator, settings} = this.context;
    coordinator.tracker.expire();
    for (const server of this.pollers.keys()) {
      const check = coordinator.tracker.findCrashCheck(server.server.id);
      if (!check) continue;
      if (clock.now() - check.startedMs < settings.crashCheckTimeoutMs)
        continue;
      this.finishCrashCheck(server, CrashCheckResult.UNKNOWN);
    }
  }

  private isWatchingExactly(servers: readonly ServerSlots[]): boolean {
    if (servers.length !== this.pollers.size) return false;
    return servers.every((server) => this.pollers.has(server));
  }

  private startPoller(server: ServerSlots): void {
    const {clock, loadReader} = this.context;
    const poller = new LoadPoller(server, {
      clock,
      loadReader,
      handleRead: (polled, read) => this.handleLoadRead(polled, read),
      getPollPeriodMs: (polled) => this.getPollPeriodMs(polled),
    });
    this.pollers.set(server, poller);
    void poller.run();
  }

  /**
   * Gets the time until the next read of a server's load report, milliseconds.
   */
  private getPollPeriodMs(server: ServerSlots): number {
    const {clock, coordinator, settings} = this.context;
    const isUrgent =
      coordinator.tracker.findCrashCheck(server.server.id) !== undefined ||
      server.isUsingLoadReports(clock.now());
    if (isUrgent) return settings.urgentLoadPollPeriodMs;
    return server.isOpen()
      ? settings.loadPollPeriodMs
      : settings.closedServerPollPeriodMs;
  }

  private handleLoadRead(server: ServerSlots, read: LoadRead): void {
    const bootBefore = server.loadReport?.boot;
    read.result.match(
      (report) => this.handleLoadReport(server, report, read.startedMs),
      (error) => this.handleFailedLoadRead(server, error),
    );
    const hasBootChanged = server.loadReport?.boot !== bootBefore;
    if (hasBootChanged || read.result.isOk()) this.handleFreedSlots();
  }

  /**
   * Records a load report and decides a running crash check by it.
   *
   * @param startedMs - monotonic time at which the read was sent; a report that
   *     was read too soon after the start of the crash check may still show the
   *     state before a crash, so it does not show that the server kept running
   */
  private handleLoadReport(
    server: ServerSlots,
    report: EngineLoad,
    startedMs: number,
  ): void {
    const {clock, coordinator, settings} = this.context;
    const check = coordinator.tracker.findCrashCheck(server.server.id);
    if (server.recordLoadReport(report)) this.markCold(server, 'boot marker');
    server.keepUsingLoadReports(clock.now(), settings.loadReportUseMs);
    if (!check) return;
    if (check.bootMarker !== report.boot) {
      this.finishCrashCheck(server, CrashCheckResult.CRASHED);
      return;
    }
    if (startedMs - check.startedMs < settings.loadReportLagMs) return;
    this.finishCrashCheck(server, CrashCheckResult.RUNNING);
  }

  private handleFailedLoadRead(
    server: ServerSlots,
    error: SavoryspurError,
  ): void {
    const wasOpen = server.isOpen();
    server.recordFailedLoadRead(isConnectionRefused(error));
    if (wasOpen && !server.isOpen()) {
      this.context.log.record(RoutingEvent.SERVER_UNREACHABLE, {
        step: error.origin.step,
        peer: server.server.id,
      });
    }
    const check = this.context.coordinator.tracker.findCrashCheck(
      server.server.id,
    );
    if (check && isConnectionRefused(error)) {
      this.finishCrashCheck(server, CrashCheckResult.CRASHED);
    }
  }

  /**
   * Starts a crash check on a server whose connection broke, with all requests
   * in flight on the server that can cause a crash as suspects. A grant that is not newer than the
   * last crash check of the server belongs to that check and starts no other.
   */
  private startCrashCheck(server: ServerSlots, grant: Grant): void {
    const {clock, coordinator} = this.context;
    const id = server.server.id;
    const startedMs = this.crashCheckStartedMs.get(id);
    if (startedMs !== undefined && grant.grantedMs <= startedMs) return;
    const inFlight = [...server.grants.values()].map(getCrashFingerprint);
    const boot = server.loadReport?.boot ?? '';
    const isNew = coordinator.startCrashCheck(id, boot, inFlight);
    if (!isNew) return;
    this.crashCheckStartedMs.set(id, clock.now());
    server.isCrashSuspected = true;
    this.pollers.get(server)?.pollNow();
  }

  private finishCrashCheck(
    server: ServerSlots,
    result: CrashCheckResult,
  ): void {
    const {counters, coordinator, log} = this.context;
    const id = server.server.id;
    server.isCrashSuspected = false;
    coordinator.finishCrashCheck(id, result);
    if (result !== CrashCheckResult.CRASHED) return;
    counters.crashes += 1;
    log.record(RoutingEvent.SERVER_CRASHED, {peer: id});
    this.markCold(server, 'crash');
  }

  /**
   * Treats a server as cold because of its answers, unless other servers that
   * amount to at least half of the pool were detected as cold in the time
   * window: the cause must then lie outside the servers.
   */
  private handleColdDetection(server: ServerSlots, end: SlotUsageEnd): void {
    const {clock} = this.context;
    const nowMs = clock.now();
    this.coldDetections = this.coldDetections.filter(
      (detection) =>
        nowMs - detection.detectedMs < COLD_DETECTION_WINDOW_MS &&
        detection.server !== server,
    );
    const isPoolWide = this.coldDetections.length * 2 >= this.pollers.size;
    this.coldDetections.push({server, detectedMs: nowMs});
    if (isPoolWide && this.pollers.size > 1) return;
    this.markCold(server, end);
  }

  private markCold(server: ServerSlots, reason: string): void {
    const {counters, log} = this.context;
    server.resetWarmUp();
    counters.coldServers += 1;
    log.record(RoutingEvent.SERVER_COLD, {peer: server.server.id, reason});
  }
}
