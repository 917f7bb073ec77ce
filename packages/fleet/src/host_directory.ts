/** Hosts as the platform lists them, kept while the platform is away. */
import type {Clock} from '@savoryspur/common';
import type {HostList} from '@savoryspur/storage';
import {
  type ListedHost,
  ListedHostState,
  type PeerInfo,
} from '@savoryspur/schema';

/** Polls the host list and remembers its last answer. */
export class HostDirectory {
  private hosts = new Map<string, ListedHost>();
  private readonly byZone = new Map<string, ListedHost[]>();
  private readonly absentSinceMs = new Map<string, number>();
  private readonly callersSeenMs = new Map<string, number>();
  private lastAnswerMs: number | undefined;

  /**
   * @param list - the platform's host list
   * @param clock - source of time
   * @param listLagMs - time for which a caller is kept that is not listed yet
   */
  constructor(
    private readonly list: HostList,
    private readonly clock: Clock,
    private readonly listLagMs: number,
  ) {}

  /** Reads the list once; keeps the last answer when there is none. */
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
    this.keepCallers(listed, nowMs);
    this.hosts = listed;
    this.updateZones();
    this.lastAnswerMs = nowMs;
  }

  /**
   * Adds a daemon that called this one before the list shows it.
   *
   * @param caller - authenticated caller
   * @returns whether it was not known
   */
  addCaller(caller: PeerInfo): boolean {
    if (this.hosts.has(caller.host)) return false;
    const {host, zone, region, address, peerPort} = caller;
    const state = ListedHostState.LIVE;
    this.hosts.set(host, {host, zone, region, address, peerPort, state});
    this.callersSeenMs.set(host, this.clock.now());
    this.updateZones();
    return true;
  }

  /** Lists the hosts of the last answer. */
  listHosts(): ListedHost[] {
    return [...this.hosts.values()];
  }

  /**
   * Lists the hosts of a zone, by name.
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

  /** Finds a host in the last answer. */
  findHost(host: string): ListedHost | undefined {
    return this.hosts.get(host);
  }

  /** Gets when the list was last read; undefined when never. */
  getLastAnswerMs(): number | undefined {
    return this.lastAnswerMs;
  }

  /**
   * Measures for how long a host has been absent from the answers, up to the
   * last answer, on this daemon's monotonic clock.
   *
   * @param host - host that held something
   * @returns milliseconds; 0 when it is listed or nothing is known
   */
  measureAbsence(host: string): number {
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

  private keepCallers(listed: Map<string, ListedHost>, nowMs: number): void {
    for (const [host, seenMs] of this.callersSeenMs) {
      const caller = this.hosts.get(host);
      if (listed.has(host) || nowMs - seenMs > this.listLagMs) {
        this.callersSeenMs.delete(host);
      } else if (caller !== undefined) {
        listed.set(host, caller);
      }
    }
  }
}
