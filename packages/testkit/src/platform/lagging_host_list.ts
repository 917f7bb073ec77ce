/** Host list whose changes become visible after a delay. */
import type {Clock} from '@savoryspur/common';
import type {ListedHost} from '@savoryspur/schema';

/** One version of the list. */
interface HostListVersion {
  /** Time from which readers see this version, milliseconds of the clock. */
  visibleAtMs: number;
  hosts: ListedHost[];
}

/** Hosts of the fleet as readers of the platform see them. */
export class LaggingHostList {
  private versions: HostListVersion[] = [{visibleAtMs: 0, hosts: []}];
  private lagMs = 0;

  /** @param clock - clock of the delay */
  constructor(private readonly clock: Clock) {}

  /**
   * Sets the delay of later changes.
   *
   * @param lagMs - delay until a change is visible, milliseconds
   */
  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /** Replaces the list; readers see the new one after the delay. */
  set(hosts: ListedHost[]): void {
    const visibleAtMs = this.clock.now() + this.lagMs;
    this.versions = this.versions.filter((s) => s.visibleAtMs <= visibleAtMs);
    this.versions.push({visibleAtMs, hosts});
  }

  /** Lists the hosts as readers see them now. */
  list(): ListedHost[] {
    const now = this.clock.now();
    while (this.versions.length > 1 && this.versions[1]!.visibleAtMs <= now) {
      this.versions.shift();
    }
    return this.versions[0]!.hosts;
  }
}
