/**
 * Polls the load report of one backend server; each server has its own poller.
 */
import type {Clock, SavoryspurError} from '@savoryspur/common';
import type {LoadReader} from '@savoryspur/backends';
import type {EngineLoad} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {ServerSlots} from './server_slots.js';

/** Outcome of one read of a server's load report. */
export interface LoadRead {
  result: Result<EngineLoad, SavoryspurError>;
  /** Monotonic time at which the read was sent. */
  startedMs: number;
}

/** Dependencies and callbacks of a load poller. */
export interface LoadPollerParts {
  clock: Clock;
  loadReader: LoadReader;
  /** Called with the outcome of each read. */
  handleRead: (server: ServerSlots, read: LoadRead) => void;
  /** Gets the time until the next read, milliseconds. */
  getPollPeriodMs: (server: ServerSlots) => number;
}

/** Polls the load report of one backend server until the poller is stopped. */
export class LoadPoller {
  private readonly stopping = new AbortController();
  private sleepAbort = new AbortController();

  /**
   * @param server - slots of the server to poll
   * @param parts - dependencies and callbacks
   */
  constructor(
    private readonly server: ServerSlots,
    private readonly parts: LoadPollerParts,
  ) {}

  /** Polls until {@link LoadPoller.stop} is called. */
  async run(): Promise<void> {
    const {clock, loadReader, handleRead, getPollPeriodMs} = this.parts;
    while (!this.stopping.signal.aborted) {
      this.sleepAbort = new AbortController();
      const startedMs = clock.now();
      const {url} = this.server.server;
      const result = await loadReader.read(url, this.server.pool.kind);
      if (this.stopping.signal.aborted) return;
      handleRead(this.server, {result, startedMs});
      await clock.sleep(getPollPeriodMs(this.server), this.sleepAbort.signal);
    }
  }

  /** Ends the current sleep, so that the next read starts at once. */
  pollNow(): void {
    this.sleepAbort.abort();
  }

  /** Stops polling; the outcome of a read in flight is dropped. */
  stop(): void {
    this.stopping.abort();
    this.sleepAbort.abort();
  }
}
