/** Events of one answer, kept for its readers and for resumption. */

/** How an answer ended. */
export enum StreamEnd {
  COMPLETED = 'completed',
  CANCELLED = 'cancelled',
  CRASHED = 'crashed',
}

/** Data of the event that ends the stream of a complete answer. */
export const END_MARKER = '[DONE]';

/** Answer to which events are appended as tokens are generated. */
export class EngineStream {
  /** Data of the events so far. */
  readonly events: string[] = [];
  /** How the answer ended; undefined until then. */
  end: StreamEnd | undefined;
  private readonly endController = new AbortController();
  /** Resolve functions of the readers that wait for a change. */
  private waitingReaders: Array<() => void> = [];

  /**
   * @param requestId - id of the request
   * @param prompt - prompt text
   * @param model - model that the request names
   */
  constructor(
    readonly requestId: string,
    readonly prompt: string,
    readonly model: string,
  ) {}

  /** Aborts when the answer ends. */
  get signal(): AbortSignal {
    return this.endController.signal;
  }

  /** Appends the data of one event. */
  append(data: string): void {
    this.events.push(data);
    this.notifyReaders();
  }

  /** Ends the answer; has no effect when the answer has already ended. */
  finish(end: StreamEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.endController.abort();
    this.notifyReaders();
  }

  /** Waits until an event is appended or the answer ends. */
  waitForChange(): Promise<void> {
    return new Promise((resolve) => this.waitingReaders.push(resolve));
  }

  /** Waits until the answer has ended, and returns how it ended. */
  async waitForEnd(): Promise<StreamEnd> {
    while (this.end === undefined) await this.waitForChange();
    return this.end;
  }

  private notifyReaders(): void {
    const readers = this.waitingReaders;
    this.waitingReaders = [];
    for (const wake of readers) wake();
  }
}
