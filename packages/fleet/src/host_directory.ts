/** Cached host list; the last answer is kept while the list is unavailable. */
import type {Clock} from '@savoryspur/common';
import type {HostList} from '@savoryspur/storage';
import {
  type ListedHost,
  ListedHostState,
  type PeerInfo,
} from '@savoryspur/schema';

/**
 * Caches the last answer of the host list and adds callers that the list does
 * not show yet.
 */
export class HostDirectory {
  private hosts = new Map<string, ListedHost>();
  private readonly byZone = new Map<string, ListedHost[]>();
  private readonly absentSinceMs = new Map<string, number>();
  private readonly callerSeenMs = new Map<string, number>();
  private lastAnswerMs: number | undefined;

  /**
   * @param list - the host list
   * @param clock - source of time
   * @param callerRetentionMs - time for which an unlisted caller is kept,
   *     milliseconds
   */
  constructor(
    private readonly list: HostList,
    private readonly clock: Clock,
    private readonly callerRetentionMs: number,
  ) {}

  /** Reads the list once; keeps the last answer when the read fails. */
  async update(): Promise<void> {
    const answer = await this.list.list();
    if (answer.isErr()) return;
    const nowMs = this.clock.now();
    const listed = new Map(answer.value.map((host) => [host.host, host]));
    for (const host of this.hosts.keys()) {
      if (!listed.has(host) && !this.absentSinceMs.has(host)) {
        this.absentSinceMs.set(host, nowMs);
      }
    }
    for (const host of listed.keys()) this.absentSinceMs.delete(host);
    this.keepUnlistedCallers(listed, nowMs);
    this.hosts = listed;
    this.updateZones();
    this.lastAnswerMs = nowMs;
  }

  /**
   * Adds a daemon that called this one before the list shows it.
   *
   * @param caller - authenticated caller
   * @returns whether the daemon's host was not known
   */
  addCaller(caller: PeerInfo): boolean {
    if (this.hosts.has(caller.host)) return false;
    const {host, zone, region, address, peerPort} = caller;
    const state = ListedHostState.LIVE;
    this.hosts.set(host, {host, zone, region, address, peerPort, state});
    this.callerSeenMs.set(host, this.clock.now());
    this.updateZones();
    return true;
  }

  /** Lists the hosts of the last answer and unlisted callers. */
  listHosts(): ListedHost[] {
    return [...this.hosts.values()];
  }

  /**
   * Lists the hosts of a zone, sorted by name.
   *
   * @param zone - availability zone
   */
  listZone(zone: string): readonly ListedHost[] {
    return this.byZone.get(zone) ?? [];
  }

  /** Lists the zones that have hosts. */
  listZones(): string[] {
    return [...this.byZone.keys()].sort();
  }

  /** Finds a host in the last answer or among unlisted callers. */
  findHost(host: string): ListedHost | undefined {
    return this.hosts.get(host);
  }

  /** Gets when the list was last read; undefined when never. */
  getLastAnswerMs(): number | undefined {
    return this.lastAnswerMs;
  }

  /**
   * Measures for how long a host has been absent from the list. The time ends
   * at the last answer, so absence does not grow while the list is unavailable.
   *
   * @param host - name of the host
   * @returns milliseconds of this daemon's monotonic clock; 0 when the host is
   *     listed or the list was never read
   */
  measureAbsenceMs(host: string): number {
    if (this.lastAnswerMs === undefined || this.hosts.has(host)) return 0;
    let sinceMs = this.absentSinceMs.get(host);
    if (sinceMs === undefined) {
      sinceMs = this.lastAnswerMs;
      this.absentSinceMs.set(host, sinceMs);
    }
    return this.lastAnswerMs - sinceMs;
  }

  private updateZones(): void {
    this.byZone.clear();
    const hosts = [...this.hosts.values()];
    hosts.sort((a, b) => (a.host < b.host ? -1 : 1));
    for (const host of hosts) {
      const zone = this.byZone.get(host.zone);
      if (zone === undefined) this.byZone.set(host.zone, [host]);
      else zone.push(host);
    }
  }

  private keepUnlistedCallers(
    listed: Map<string, ListedHost>,
    nowMs: number,
  ): void {
    for (const [host, seenMs] of this.callerSeenMs) {
      const caller = this.hosts.get(host);
      if (listed.has(host) || nowMs - seenMs > this.callerRetentionMs) {
        this.callerSeenMs.delete(host);
      } else if (caller !== undefined) {
        listed.set(host, caller);
      }
    }
  }
}
