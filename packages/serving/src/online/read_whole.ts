/** Reads answers of servers that are buffered until they are complete, within the memory budget. */
import {ByteCollector, type Clock} from '@savoryspur/common';
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

/** A whole answer, whose memory is reserved until it is released. */
export interface WholeAnswer {
  body: Buffer;
  memory: GrowingReservation;
}

/**
 * Reads a whole answer.
 *
 * @param reply - the answer
 * @param options - memory budget of this daemon, and source of time
 * @returns the answer, or the reason for which it can't be used
 */
export async function readWhole(
  reply: ServerReply,
  {memory: budget, clock}: {memory: MemoryBudget; clock: Clock},
): Promise<WholeAnswer | string> {
  const memory = createAnswerMemory(budget);
  const collector = new ByteCollector(Infinity, true);
  const tryReserve = (bytes: number): boolean => {
    while (!memory.tryReserve(bytes)) {
      if (!budget.unreadAnswers.endOldest(clock.now())) return false;
    }
    return true;
  };
  let isWhole = false;
  try {
    // An answer for which there is no memory is not read in part.
    if (!tryReserve(findDeclaredBytes(reply))) return NO_MEMORY_REASON;
    for await (const bytes of reply.body) {
      collector.add(bytes);
      if (collector.length > MAX_BUFFERED_ANSWER_BYTES) {
        return `the answer is larger than ${MAX_BUFFERED_ANSWER_BYTES} bytes`;
      }
      if (!tryReserve(collector.allocatedBytes)) return NO_MEMORY_REASON;
    }
    isWhole = true;
    return {body: collector.take(), memory};
  } finally {
    if (!isWhole) memory.release();
  }
}

/** Finds the length that the head of an answer states, at most that of the largest answer, bytes; 0 without one. */
function findDeclaredBytes({head}: ServerReply): number {
  const {headers} = head;
  const at = headers.findIndex(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  const bytes = Number(headers[at + 1]);
  return at >= 0 && bytes > 0 ? Math.min(bytes, MAX_BUFFERED_ANSWER_BYTES) : 0;
}
