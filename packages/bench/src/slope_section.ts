/** Result of one group of measurements. */
import type {Line} from './least_squares.js';

/** Figures of one measurement, by name. */
export type SlopeRow = Record<string, number>;

/**
 * Measurements at several sizes and the lines fitted to them. The slope of a line
 * is the cost of one more unit of the size.
 */
export interface SlopeSection {
  name: string;
  /** When it was measured, in ISO 8601, if not together with the other sections. */
  measuredAt?: string;
  rows: SlopeRow[];
  /** Fitted lines by name, which states cost and size, such as `heapBytesPerBucket`. */
  lines: Record<string, Line>;
  /** Text that the measurement script of another package printed. */
  output?: string;
}
