/**
 * Time limits on what arrives on connections. After a time in which the process
 * stood still, timers run before connections are read, so that what has arrived in
 * time is still unread when a time limit expires.
 */
import {setImmediate as waitForTurn} from 'node:timers/promises';

/** Turns of the event loop: one accepts connections and reads the open ones, the next reads those that were accepted. */
const TURNS = 2;

/** Waits until all that has arrived on connections was read. */
export async function readPendingInput(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await waitForTurn();
}

/** Time limit that expires only after what has arrived was read, which may cancel it. */
export class Timeout {
  private readonly timer: NodeJS.Timeout;
  private turn: NodeJS.Immediate | undefined;

  /**
   * @param ms - time limit, milliseconds
   * @param expire - called when the time limit has expired and was not cancelled
   */
  constructor(
    ms: number,
    private readonly expire: () => void,
  ) {
    this.timer = setTimeout(() => this.waitForTurns(TURNS), ms);
  }

  /** Cancels the time limit, unless it has expired. */
  cancel(): void {
    clearTimeout(this.timer);
    clearImmediate(this.turn);
  }

  private waitForTurns(turns: number): void {
    if (turns === 0) return this.expire();
    this.turn = setImmediate(() => this.waitForTurns(turns - 1));
  }
}
