/** Decides which requests a fault affects. */
import type {FaultSelector} from '@savoryspur/schema';
import type {SeededRandom} from './seeded_random.js';

/**
 * Injects one kind of fault: into a given number of the next requests, and then
 * into a random fraction of the later ones.
 */
export class FaultInjector {
  private nextLeft = 0;
  private probability = 0;
  private affected = 0;

  /** @param random - source of the random decisions */
  constructor(private random: SeededRandom) {}

  /**
   * Sets which requests the fault affects.
   *
   * @param selector - how many of the next requests are all affected, and
   *     probability with which each later request is affected
   */
  set(selector: FaultSelector): void {
    this.nextLeft = selector.next;
    this.probability = selector.probability;
  }

  /** Replaces the source of the random decisions. */
  reset(random: SeededRandom): void {
    this.random = random;
  }

  /** Decides whether the fault affects the current request; counts it if so. */
  takeDecision(): boolean {
    if (this.nextLeft > 0) {
      this.nextLeft -= 1;
      this.affected += 1;
      return true;
    }
    if (this.probability === 0) return false;
    if (this.random.takeUniform() >= this.probability) return false;
    this.affected += 1;
    return true;
  }

  /** Counts the requests that the fault has affected. */
  countAffected(): number {
    return this.affected;
  }
}
