/** Faults that are active on one link of the proxy. */
import type {Clock} from '@savoryspur/common';
import {ProxyAction} from '@savoryspur/schema';

/** Directions of a proxied connection. */
export enum FlowDirection {
  TO_TARGET = 'to_target',
  TO_CLIENT = 'to_client',
}

/** Active faults, which apply to all connections of a link. */
export class LinkState {
  /** Whether new connections are refused. */
  isCut = false;
  /** Delay of all bytes, milliseconds. */
  delayMs = 0;
  private isFrozen = false;
  private readonly droppedDirections = new Set<FlowDirection>();
  /** Resolve functions of the flows that wait while the link is frozen. */
  private frozenFlows: Array<() => void> = [];
  private readonly actionHandlers: Record<
    ProxyAction,
    (delayMs: number) => void
  > = {
    [ProxyAction.HEAL]: () => this.reset(),
    [ProxyAction.CUT]: () => (this.isCut = true),
    [ProxyAction.FREEZE]: () => (this.isFrozen = true),
    [ProxyAction.DELAY]: (delayMs) => (this.delayMs = delayMs),
    [ProxyAction.DROP_TO_TARGET]: () =>
      this.droppedDirections.add(FlowDirection.TO_TARGET),
    [ProxyAction.DROP_TO_CLIENT]: () =>
      this.droppedDirections.add(FlowDirection.TO_CLIENT),
    [ProxyAction.FORGET]: () => undefined,
  };

  /** @param clock - clock of the delays */
  constructor(readonly clock: Clock) {}

  /**
   * Activates the fault that an action names, or clears all faults.
   *
   * @param action - what to do
   * @param delayMs - delay, for the delay action only, milliseconds
   */
  apply(action: ProxyAction, delayMs: number): void {
    this.actionHandlers[action](delayMs);
  }

  /** Tells whether the bytes of a direction are dropped. */
  isDropping(direction: FlowDirection): boolean {
    return this.droppedDirections.has(direction);
  }

  /** Waits while the link is frozen. */
  async waitWhileFrozen(): Promise<void> {
    while (this.isFrozen) {
      await new Promise<void>((resolve) => this.frozenFlows.push(resolve));
    }
  }

  private reset(): void {
    this.isCut = false;
    this.isFrozen = false;
    this.delayMs = 0;
    this.droppedDirections.clear();
    const flows = this.frozenFlows;
    this.frozenFlows = [];
    for (const wake of flows) wake();
  }
}
