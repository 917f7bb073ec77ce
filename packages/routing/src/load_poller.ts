/** Reads the load of one backend server: one task for each server. */
import type {Clock, SavoryspurError} from '@savoryspur/common';
import type {LoadReader} from '@savoryspur/backends';
import type {EngineLoad} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {ServerSlots} from './server_slots.js';

/** One load read. */
export interface LoadRead {
  result: Result<EngineLoad, SavoryspurError>;
  /** Monotonic time at which the read was sent. */
  startedMs: number;
}

/** What a watch works with. */
export interface ServerWatchParts {
  clock: Clock;
  loadReader: LoadReader;
  /** Handles one read. */
  handleRead: (server: ServerSlots, read: LoadRead) => void;
  /** Gets the time to the next read, milliseconds. */
  getPeriodMs: (server: ServerSlots) => number;
}

/** Reads the load of one backend server until it is stopped. */
export class LoadPoller {
  private readonly stopping = new AbortController();
  private wake = new AbortController();

  /**
   * @param server - the server
   * @param parts - what the watch works with
   */
  constructor(
    private readonly server: ServerSlots,
    private readonly parts: ServerWatchParts,
  ) {}

  /** Reads until stopped. */
  async run(): Promise<void> {
    const {clock, loadReader, handleRead, getPeriodMs} = this.parts;
    while (!this.stopping.signal.aborted) {
      this.wake = new AbortController();
      const startedMs = clock.now();
      const {url} = this.server.server;
      const result = await loadReader.read(url, this.server.pool.kind);
      if (this.stopping.signal.aborted) return;
      handleRead(this.server, {result, startedMs});
      await clock.sleep(getPeriodMs(this.server), this.wake.signal);
    }
  }

  /** Reads again at once. */
  probe(): void {
    this.wake.abort();
  }

  /** Ends the task. */
  stop(): void {
    this.stopping.abort();
    this.wake.abort();
  }
}
