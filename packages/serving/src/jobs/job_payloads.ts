/** Reads the payloads of jobs within the memory budget, and caches those that callers read. */
import type {SavoryspurError} from '@savoryspur/common';
import type {BatchJobRow} from '@savoryspur/schema';
import {
  MAX_PAYLOAD_BYTES,
  type MemoryBudget,
  type MemoryReservation,
  MemoryUse,
} from '../memory/memory_budget.js';
import type {JobStore, PayloadItem} from './job_store.js';
import {ok, type Result} from 'neverthrow';

/** Memory that an item takes beyond its body, its path and its headers, bytes. */
const ITEM_OVERHEAD_BYTES = 256;

/** Longest wait of a caller's read for memory, milliseconds. */
const MAX_MEMORY_WAIT_MS = 1000;

/** Items of a job that are in memory. */
interface CachedPayload {
  items: PayloadItem[];
  memory: MemoryReservation;
}

/** Payloads of jobs. */
export class JobPayloads {
  /** Payloads that callers have read, by object name, least recently read first. */
  private readonly cache = new Map<string, CachedPayload>();
  /** Reads in progress for the cache, by object name. */
  private readonly reads = new Map<
    string,
    Promise<Result<PayloadItem[] | undefined, SavoryspurError>>
  >();

  /**
   * @param store - store of the jobs
   * @param memory - memory budget of this daemon
   */
  constructor(
    private readonly store: JobStore,
    private readonly memory: MemoryBudget,
  ) {}

  /**
   * Reads the items of a job from the store. The caller has reserved memory for
   * them; the copies made on the way are reserved here.
   *
   * @param job - the job
   * @param signal - ends the wait for memory
   * @returns the items; undefined when the wait was ended
   */
  async read(
    job: BatchJobRow,
    signal: AbortSignal,
  ): Promise<Result<PayloadItem[] | undefined, SavoryspurError>> {
    const copies = await this.memory.reserve(
      MemoryUse.PAYLOAD_READS,
      MAX_PAYLOAD_BYTES,
      signal,
    );
    if (!copies) return ok(undefined);
    const read = await this.store.readPayload(job);
    copies.release();
    return read;
  }

  /**
   * Gets the items of a job from the cache, or reads them from the store.
   *
   * @param job - the job
   * @returns the items; undefined when there was no memory for them in time
   */
  get(
    job: BatchJobRow,
  ): Promise<Result<PayloadItem[] | undefined, SavoryspurError>> {
    const name = job.payload;
    const cached = this.cache.get(name);
    if (cached) {
      this.cache.delete(name);
      this.cache.set(name, cached);
      return Promise.resolve(ok(cached.items));
    }
    const started = this.reads.get(name);
    if (started) return started;
    const read = this.readForCache(job).finally(() => this.reads.delete(name));
    this.reads.set(name, read);
    return read;
  }

  private async readForCache(
    job: BatchJobRow,
  ): Promise<Result<PayloadItem[] | undefined, SavoryspurError>> {
    const signal = AbortSignal.timeout(MAX_MEMORY_WAIT_MS);
    const memory =
      this.reserveCacheMemory() ??
      (await this.memory.reserve(
        MemoryUse.CACHED_PAYLOADS,
        MAX_PAYLOAD_BYTES,
        signal,
      ));
    if (!memory) return ok(undefined);
    const read = await this.read(job, signal);
    if (read.isErr() || !read.value) {
      memory.release();
      return read;
    }
    memory.resize(computePayloadBytes(read.value));
    this.cache.set(job.payload, {items: read.value, memory});
    return read;
  }

  /** Reserves memory for one more payload, and evicts the least recently read ones as far as necessary. */
  private reserveCacheMemory(): MemoryReservation | undefined {
    for (;;) {
      const memory = this.memory.tryReserve(
        MemoryUse.CACHED_PAYLOADS,
        MAX_PAYLOAD_BYTES,
      );
      if (memory) return memory;
      const [oldest] = this.cache;
      if (!oldest) return undefined;
      this.cache.delete(oldest[0]);
      oldest[1].memory.release();
    }
  }
}

/** Computes the memory that items take, bytes. */
export function computePayloadBytes(items: readonly PayloadItem[]): number {
  return items.reduce((sum, item) => sum + computeItemBytes(item), 0);
}

/** Computes the memory that an item takes, bytes. */
export function computeItemBytes({path, headers, body}: PayloadItem): number {
  const texts = [path, ...Object.entries(headers).flat()];
  return (
    body.length +
    ITEM_OVERHEAD_BYTES +
    texts.reduce((sum, text) => sum + text.length, 0)
  );
}
