/** Slow start of a backend server: capacity grows with completed work. */
import type {Pool} from '@savoryspur/schema';

/** Factor by which capacity grows after the warm-up. */
const GROWTH_FACTOR = 2;

/** What a backend server can carry, from cold to warm. */
export class WarmUp {
  private capacity: number;
  private completed = 0;

  /**
   * @param pool - capacities and warm-up of the pool
   */
  constructor(private pool: Pool) {
    this.capacity = this.getColdCapacity();
  }

  /** Gets the requests at once that the server can carry now. */
  getCapacity(): number {
    return this.capacity;
  }

  /** Gets the requests at once that the server can carry when cold. */
  getColdCapacity(): number {
    return Math.min(this.pool.coldCapacity, this.pool.warmCapacity);
  }

  /** Tells whether the server carries what the pool's warm servers carry. */
  isWarm(): boolean {
    return this.capacity >= this.pool.warmCapacity;
  }

  /** Applies changed capacities of the pool. */
  apply(pool: Pool): void {
    const wasWarm = this.isWarm();
    this.pool = pool;
    if (wasWarm) this.capacity = pool.warmCapacity;
    this.capacity = Math.min(this.capacity, pool.warmCapacity);
  }

  /** Treats the server as cold. */
  reset(): void {
    this.capacity = this.getColdCapacity();
    this.completed = 0;
  }

  /**
   * Takes over what another owner knew.
   *
   * @param capacity - requests at once that the server could carry
   */
  resume(capacity: number): void {
    const least = Math.max(capacity, this.getColdCapacity());
    this.capacity = Math.min(least, this.pool.warmCapacity);
  }

  /**
   * Records a completed request.
   *
   * @returns whether the server became warm by it
   */
  recordCompletion(): boolean {
    if (this.isWarm()) return false;
    this.completed += 1;
    const isCold = this.capacity <= this.getColdCapacity();
    const needed = isCold ? this.pool.warmupRequests : this.capacity;
    if (this.completed < needed) return false;
    this.completed = 0;
    const grown = Math.max(this.capacity, 1) * GROWTH_FACTOR;
    this.capacity = Math.min(grown, this.pool.warmCapacity);
    return this.isWarm();
  }
}
