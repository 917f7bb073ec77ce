/** Decides whether this daemon is cut off from all backend servers. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';

/** Number of servers that must be silent, with no response of any server since, for this daemon to be cut off. */
const SILENT_SERVERS_TO_CUT_OFF = 2;

/** Time for which this daemon must have been cut off before other daemons are told, milliseconds: longer than a sound server or network may pause. */
const MIN_REPORTED_CUT_OFF_MS = 1000;

/** Time for which this daemon must have reached servers again before other daemons are told, milliseconds: the keys that it owns would move with each change. */
const MIN_REPORTED_RECOVERY_MS = 4000;

/** Tracks the servers that are silent since any server last responded. */
export class CutOffTracker {
  private readonly silentServerIds = new Set<string>();
  /** Since when this daemon has been cut off, monotonic milliseconds; undefined while it is not. */
  private sinceMs: number | undefined;
  /** When this daemon was last cut off, monotonic milliseconds. */
  private lastMs = Number.NEGATIVE_INFINITY;
  private isReported = false;

  /**
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Whether this daemon reaches no server, as far as its latest calls show. */
  isCutOff(): boolean {
    return this.sinceMs !== undefined;
  }

  /** Whether other daemons should take this one for cut off; changes later than {@link isCutOff}, so that it does not flap. */
  isCutOffForPeers(): boolean {
    const nowMs = this.clock.now();
    if (this.sinceMs === undefined) {
      this.isReported &&= nowMs - this.lastMs < MIN_REPORTED_RECOVERY_MS;
    } else {
      this.isReported ||= nowMs - this.sinceMs >= MIN_REPORTED_CUT_OFF_MS;
    }
    return this.isReported;
  }

  /** Records that a server didn't respond or could not be connected to. */
  recordSilence(serverId: string): void {
    this.silentServerIds.add(serverId);
    if (this.sinceMs !== undefined) return;
    if (this.silentServerIds.size < SILENT_SERVERS_TO_CUT_OFF) return;
    this.sinceMs = this.clock.now();
    this.log.record(ServingEvent.SERVERS_CUT_OFF, {
      servers: [...this.silentServerIds],
    });
  }

  /** Records that a server responded or accepted a connection. */
  recordReach(): void {
    this.silentServerIds.clear();
    this.finishCutOff();
  }

  /**
   * Removes servers that no longer exist.
   *
   * @param isKnown - whether a server still exists
   */
  removeUnknownServers(isKnown: (serverId: string) => boolean): void {
    for (const id of this.silentServerIds) {
      if (!isKnown(id)) this.silentServerIds.delete(id);
    }
    if (this.silentServerIds.size < SILENT_SERVERS_TO_CUT_OFF)
      this.finishCutOff();
  }

  private finishCutOff(): void {
    if (this.sinceMs === undefined) return;
    this.lastMs = this.clock.now();
    this.log.record(ServingEvent.SERVERS_REACHED, {
      cutOffMs: Math.round(this.lastMs - this.sinceMs),
    });
    this.sinceMs = undefined;
  }
}
