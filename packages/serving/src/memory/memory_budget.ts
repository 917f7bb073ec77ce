/**
 * Limits the memory that large requests, job payloads and answers take at the same
 * time. Each kind of use has a share of its own, so that none can starve another.
 */

import {UnreadAnswers} from './unread_answers.js';

/** What memory is reserved for. */
export enum MemoryUse {
  /** Callers' requests, from their heads until they are answered; limited by `CallerMemory`. */
  REQUEST_BODIES = 'request_bodies',
  /** Copies that exist while the payload of a job is read from the store and decoded. */
  PAYLOAD_READS = 'payload_reads',
  /** Bodies of the unfinished items of jobs that run on this daemon. */
  RUNNING_JOBS = 'running_jobs',
  /** Payloads from which callers read the bodies of items. */
  CACHED_PAYLOADS = 'cached_payloads',
  /** Pages of results while they are read from the store. */
  RESULT_READS = 'result_reads',
  /** Answers that their callers have not read yet. */
  ANSWERS = 'answers',
  /** Answers of servers as far as they are kept before they are passed on, and outputs of items. */
  SERVER_ANSWERS = 'server_answers',
  /** Objects that this daemon passes on between the store and a peer. */
  RELAYED_OBJECTS = 'relayed_objects',
}

const MEBIBYTE = 1024 * 1024;

/** Size of the largest payload of a job for which memory is reserved before its size is known, bytes. */
export const MAX_PAYLOAD_BYTES = 4 * MEBIBYTE;

/** Shares of the uses, bytes. Their sum leaves room for the rest of the process within a heap of 128 MB and 220 MB of resident memory. */
export const MEMORY_SHARES: Readonly<Record<MemoryUse, number>> = {
  [MemoryUse.REQUEST_BODIES]: 10 * MEBIBYTE,
  [MemoryUse.PAYLOAD_READS]: MAX_PAYLOAD_BYTES,
  [MemoryUse.RUNNING_JOBS]: 12 * MEBIBYTE,
  [MemoryUse.CACHED_PAYLOADS]: 8 * MEBIBYTE,
  [MemoryUse.RESULT_READS]: 8 * MEBIBYTE,
  [MemoryUse.ANSWERS]: 8 * MEBIBYTE,
  [MemoryUse.SERVER_ANSWERS]: 16 * MEBIBYTE,
  [MemoryUse.RELAYED_OBJECTS]: MAX_PAYLOAD_BYTES,
};

/** Reserved memory of one use. */
export interface MemoryReservation {
  /** Changes the reserved size to that of memory that is in use already, bytes; a larger size is granted in any case. */
  resize(bytes: number): void;
  /** Returns the memory; does nothing when it was returned before. */
  release(): void;
}

interface Waiter {
  bytes: number;
  grant: (reservation: MemoryReservation) => void;
}

/** Reservations of memory by use. */
export class MemoryBudget {
  /** Whole answers of servers that callers have not read, which give way to others. */
  readonly unreadAnswers = new UnreadAnswers();
  private readonly usedBytes = new Map<MemoryUse, number>();
  /** Requests for memory that wait, by use, in the order of their arrival. */
  private readonly waiters = new Map<MemoryUse, Waiter[]>();

  /**
   * @param shares - limit of each use, bytes
   */
  constructor(
    private readonly shares: Readonly<
      Record<MemoryUse, number>
    > = MEMORY_SHARES,
  ) {}

  /** Gets the reserved memory of a use, bytes. */
  getUsedBytes(use: MemoryUse): number {
    return this.usedBytes.get(use) ?? 0;
  }

  /**
   * Reserves memory if it is available and nobody waits for it.
   *
   * @param use - what the memory is for
   * @param bytes - size; a size above the share of the use is reserved alone
   * @returns the reservation; undefined when there is not enough memory
   */
  tryReserve(use: MemoryUse, bytes: number): MemoryReservation | undefined {
    const hasWaiters = (this.waiters.get(use)?.length ?? 0) > 0;
    if (hasWaiters || !this.isAvailable(use, bytes)) return undefined;
    return this.grant(use, bytes);
  }

  /**
   * Reserves memory whether it is available or not, for a use whose memory is limited elsewhere.
   *
   * @param use - what the memory is for
   * @param bytes - size
   */
  reserveNow(use: MemoryUse, bytes: number): MemoryReservation {
    return this.grant(use, bytes);
  }

  /**
   * Reserves memory and waits for it if necessary; requests are granted in the
   * order of their arrival.
   *
   * @param use - what the memory is for
   * @param bytes - size; a size above the share of the use is reserved alone
   * @param signal - ends the wait
   * @returns the reservation; undefined when the wait was ended
   */
  reserve(
    use: MemoryUse,
    bytes: number,
    signal: AbortSignal,
  ): Promise<MemoryReservation | undefined> {
    const reservation = this.tryReserve(use, bytes);
    if (reservation) return Promise.resolve(reservation);
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiters = this.waiters.get(use) ?? [];
      this.waiters.set(use, waiters);
      const stop = (): void => {
        waiters.splice(waiters.indexOf(waiter), 1);
        resolve(undefined);
        this.grantWaiters(use);
      };
      const waiter: Waiter = {
        bytes,
        grant: (granted) => {
          signal.removeEventListener('abort', stop);
          resolve(granted);
        },
      };
      waiters.push(waiter);
      signal.addEventListener('abort', stop, {once: true});
    });
  }

  private isAvailable(use: MemoryUse, bytes: number): boolean {
    const usedBytes = this.getUsedBytes(use);
    return usedBytes === 0 || usedBytes + bytes <= this.shares[use];
  }

  private grant(use: MemoryUse, bytes: number): MemoryReservation {
    let reservedBytes = 0;
    const resize = (newBytes: number): void => {
      const change = newBytes - reservedBytes;
      reservedBytes = newBytes;
      this.usedBytes.set(use, this.getUsedBytes(use) + change);
      if (change < 0) this.grantWaiters(use);
    };
    resize(bytes);
    return {resize, release: () => resize(0)};
  }

  private grantWaiters(use: MemoryUse): void {
    const waiters = this.waiters.get(use) ?? [];
    for (;;) {
      const next = waiters[0];
      if (!next || !this.isAvailable(use, next.bytes)) return;
      waiters.shift();
      next.grant(this.grant(use, next.bytes));
    }
  }
}
