/**
 * Warm-up (slow start) of a backend server: its capacity grows with completed
 * requests.
 */
import type {Pool} from '@savoryspur/schema';

/** Factor by which each step of the warm-up multiplies the capacity. */
const CAPACITY_GROWTH_FACTOR = 2;

/**
 * Number of concurrent requests that a backend server can carry, from cold to
 * warm.
 */
export class WarmUp {
  private capacity: number;
  private completedRequests = 0;

  /**
   * @param pool - pool with the cold capacity, the warm capacity and the
   *     requests of the first warm-up step
   */
  constructor(private pool: Pool) {
    this.capacity = this.getColdCapacity();
  }

  /** Gets the number of concurrent requests that the server can carry now. */
  getCapacity(): number {
    return this.capacity;
  }

  /**
   * Gets the number of concurrent requests that the server can carry when cold.
   */
  getColdCapacity(): number {
    return Math.min(this.pool.coldCapacity, this.pool.warmCapacity);
  }

  /** Tells whether the server has reached the pool's warm capacity. */
  isWarm(): boolean {
    return this.capacity >= this.pool.warmCapacity;
  }

  /** Applies changed capacities of the pool; a warm server stays warm. */
  applyPool(pool: Pool): void {
    const wasWarm = this.isWarm();
    this.pool = pool;
    if (wasWarm) this.capacity = pool.warmCapacity;
    this.capacity = Math.min(this.capacity, pool.warmCapacity);
  }

  /** Resets the capacity to that of a cold server. */
  reset(): void {
    this.capacity = this.getColdCapacity();
    this.completedRequests = 0;
  }

  /**
   * Continues the warm-up at the capacity that another owner has seen.
   *
   * @param capacity - concurrent requests that the server could carry
   */
  applyHintedCapacity(capacity: number): void {
    const atLeastCold = Math.max(capacity, this.getColdCapacity());
    this.capacity = Math.min(atLeastCold, this.pool.warmCapacity);
  }

  /**
   * Records a completed request.
   *
   * @returns whether this request completed the warm-up
   */
  recordCompletion(): boolean {
    if (this.isWarm()) return false;
    this.completedRequests += 1;
    const isCold = this.capacity <= this.getColdCapacity();
    const neededRequests = isCold ? this.pool.warmupRequests : this.capacity;
    if (this.completedRequests < neededRequests) return false;
    this.completedRequests = 0;
    const grown = Math.max(this.capacity, 1) * CAPACITY_GROWTH_FACTOR;
    this.capacity = Math.min(grown, this.pool.warmCapacity);
    return this.isWarm();
  }
}
