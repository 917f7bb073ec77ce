/** Reads answers of servers that are buffered until they are complete, within the memory budget. */
import {GrowingReservation} from '../memory/growing_reservation.js';
import {type MemoryBudget, MemoryUse} from '../memory/memory_budget.js';
import {NO_MEMORY_REASON, type ServerReply} from './online_types.js';

/** Maximum size of an answer that is buffered until it is complete, bytes. */
const MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024;

/** Size up to which answers of servers need no reserved memory, bytes. */
const SMALL_ANSWER_BYTES = 32 * 1024;

/** Creates the reservation of the memory of one answer of a server. */
export function createAnswerMemory(budget: MemoryBudget): GrowingReservation {
  return new GrowingReservation(
    budget,
    MemoryUse.SERVER_ANSWERS,
    SMALL_ANSWER_BYTES,
  );
}

/**
 * Reads a whole answer.
 *
 * @param reply - the answer
 * @param budget - memory budget of this daemon
 * @returns the body, or the reason for which the answer can't be used
 */
export async function readWhole(
  reply: ServerReply,
  budget: MemoryBudget,
): Promise<Buffer | string> {
  const memory = createAnswerMemory(budget);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const bytes of reply.body) {
      chunks.push(bytes);
      size += bytes.length;
      if (size > MAX_BUFFERED_ANSWER_BYTES) {
        return `the answer is larger than ${MAX_BUFFERED_ANSWER_BYTES} bytes`;
      }
      if (!memory.tryReserve(size)) return NO_MEMORY_REASON;
    }
    return Buffer.concat(chunks);
  } finally {
    memory.release();
  }
}
