/** Decides which requests meet a fault. */
import type {FaultSelector} from '@savoryspur/schema';
import type {SeededRandom} from './seeded_random.js';

/** Takes decisions for one kind of fault. */
export class FaultInjector {
  private left = 0;
  private probability = 0;
  private taken = 0;

  /** @param random - source of the chances */
  constructor(private random: SeededRandom) {}

  /**
   * Sets which requests meet the fault.
   *
   * @param injection - number of next requests and chance
   */
  set(injection: FaultSelector): void {
    this.left = injection.next;
    this.probability = injection.probability;
  }

  /** Replaces the source of the chances. */
  reset(random: SeededRandom): void {
    this.random = random;
  }

  /** Decides whether the request at hand meets the fault, and counts it. */
  take(): boolean {
    if (this.left > 0) {
      this.left -= 1;
      this.taken += 1;
      return true;
    }
    if (this.probability === 0) return false;
    if (this.random.take() >= this.probability) return false;
    this.taken += 1;
    return true;
  }

  /** Counts the requests that met the fault. */
  count(): number {
    return this.taken;
  }
}
