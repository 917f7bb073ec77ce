/** Reserves memory for data while it arrives. */
import type {
  MemoryBudget,
  MemoryReservation,
  MemoryUse,
} from './memory_budget.js';

/** Least memory by which a reservation grows, bytes. */
const MIN_GROWTH_BYTES = 256 * 1024;

/** Reserved memory of data whose size becomes known while it arrives. */
export class GrowingReservation {
  private readonly reservations: MemoryReservation[] = [];
  private reservedBytes = 0;

  /**
   * @param budget - memory budget of this daemon
   * @param use - what the memory is for
   * @param freeBytes - size up to which nothing is reserved, bytes
   */
  constructor(
    private readonly budget: MemoryBudget,
    private readonly use: MemoryUse,
    private readonly freeBytes: number,
  ) {}

  /**
   * Reserves memory up to a size in place of what is reserved already.
   *
   * @param bytes - whole size that is needed, bytes
   * @returns whether there is enough memory
   */
  tryReserve(bytes: number): boolean {
    const missingBytes = bytes - this.reservedBytes;
    if (bytes <= this.freeBytes || missingBytes <= 0) return true;
    const growthBytes = Math.max(missingBytes, MIN_GROWTH_BYTES);
    const reservation = this.budget.tryReserve(this.use, growthBytes);
    if (!reservation) return false;
    this.reservations.push(reservation);
    this.reservedBytes += growthBytes;
    return true;
  }

  /** Returns the memory. */
  release(): void {
    for (const reservation of this.reservations.splice(0)) {
      reservation.release();
    }
    this.reservedBytes = 0;
  }
}
