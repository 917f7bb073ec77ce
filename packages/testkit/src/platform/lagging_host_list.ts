/** Host list whose changes become visible after a delay. */
import type {Clock} from '@savoryspur/common';
import type {ListedHost} from '@savoryspur/schema';

/** One state of the list. */
interface HostListState {
  /** Time from which readers see this state, milliseconds of the clock. */
  shownAtMs: number;
  hosts: ListedHost[];
}

/** Hosts of the fleet as readers of the platform see them. */
export class LaggingHostList {
  private states: HostListState[] = [{shownAtMs: 0, hosts: []}];
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
    const shownAtMs = this.clock.now() + this.lagMs;
    this.states = this.states.filter((s) => s.shownAtMs <= shownAtMs);
    this.states.push({shownAtMs, hosts});
  }

  /** Lists the hosts as readers see them now. */
  list(): ListedHost[] {
    const nowMs = this.clock.now();
    while (this.states.length > 1 && this.states[1]!.shownAtMs <= nowMs) {
      this.states.shift();
    }
    return this.states[0]!.hosts;
  }
}
