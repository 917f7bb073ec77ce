/** Counts and times of answers of one route, software version and server. */

/** Times below this are taken as equal, milliseconds: they measure the daemon rather than the server. */
const MIN_TIME_MS = 2;

/** Decimal digits of encoded sums. */
const SUM_DIGITS = 100;

/** Number, sum and sum of squares of the natural logarithms of times. */
export class TimeStats {
  count = 0;
  sum = 0;
  sumOfSquares = 0;

  /** Adds a time, milliseconds; nothing when there is none. */
  add(ms: number | undefined): void {
    if (ms === undefined || !Number.isFinite(ms)) return;
    const log = Math.log(Math.max(ms, MIN_TIME_MS));
    this.count += 1;
    this.sum += log;
    this.sumOfSquares += log * log;
  }

  /** Adds the times of other stats. */
  merge(other: TimeStats): void {
    this.count += other.count;
    this.sum += other.sum;
    this.sumOfSquares += other.sumOfSquares;
  }

  /** Average logarithm; 0 when there is no time. */
  getMean(): number {
    return this.count === 0 ? 0 : this.sum / this.count;
  }

  /** Sum of the squared distances from the average. */
  getSquares(): number {
    return Math.max(0, this.sumOfSquares - this.sum * this.getMean());
  }
}

/** Answers of one route, software version and server. */
export class CallStats {
  calls = 0;
  bad = 0;
  readonly firstEvent = new TimeStats();
  readonly event = new TimeStats();

  /** Adds the answers of other stats. */
  merge(other: CallStats): void {
    this.calls += other.calls;
    this.bad += other.bad;
    this.firstEvent.merge(other.firstEvent);
    this.event.merge(other.event);
  }

  /** Encodes the stats as a list of numbers. */
  encode(): number[] {
    const numbers = [this.calls, this.bad];
    for (const {count, sum, sumOfSquares} of [this.firstEvent, this.event]) {
      numbers.push(count, roundSum(sum), roundSum(sumOfSquares));
    }
    return numbers;
  }

  /** Decodes the stats from a list of numbers; missing ones are 0. */
  static decode(numbers: readonly number[]): CallStats {
    const stats = new CallStats();
    [stats.calls = 0, stats.bad = 0] = numbers;
    [stats.firstEvent, stats.event].forEach((times, index) => {
      const start = 2 + index * 3;
      times.count = numbers[start] ?? 0;
      times.sum = numbers[start + 1] ?? 0;
      times.sumOfSquares = numbers[start + 2] ?? 0;
    });
    return stats;
  }
}

/** Rounds a sum for encoding. */
const roundSum = (sum: number): number =>
  Math.round(sum * SUM_DIGITS) / SUM_DIGITS;
