/** Pseudorandom numbers that are reproducible from a seed. */

/** Increment of the mulberry32 generator. */
const MULBERRY_INCREMENT = 0x6d2b79f5;

/** Number of values of an unsigned 32-bit integer. */
const UINT32_RANGE = 2 ** 32;

/** Deterministic pseudorandom number generator (mulberry32). */
export class SeededRandom {
  private state: number;

  /** @param seed - determines the whole sequence of numbers */
  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /**
   * Takes the next uniformly distributed number.
   *
   * @returns a number from 0 to below 1
   */
  takeUniform(): number {
    this.state = (this.state + MULBERRY_INCREMENT) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }

  /**
   * Takes the next exponentially distributed number.
   *
   * @param mean - mean of the distribution
   */
  takeExponential(mean: number): number {
    return -Math.log(1 - this.takeUniform()) * mean;
  }
}
