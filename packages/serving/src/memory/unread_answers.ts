/**
 * Whole answers that their callers have not read yet. Load that it addresses:
 * callers who ask for long answers and don't read them, so that there is no memory
 * for the answers of others.
 */

/** Time after which an unread answer gives way to others, milliseconds: callers read pages of 1 MB as they arrive. */
const UNREAD_MS = 5000;

/** Answer that was sent to a caller. */
export interface SentAnswer {
  /** Calls a listener once the caller has read the whole answer or its connection is closed. */
  subscribeToClose(listener: () => void): void;
  /** Closes the connection abnormally. */
  abort(): void;
}

interface UnreadAnswer {
  sinceMs: number;
  end: () => void;
}

/** Answers in the order in which they were sent. */
export class UnreadAnswers {
  private readonly answers = new Set<UnreadAnswer>();

  /**
   * Adds an answer that is sent now, until it was read.
   *
   * @param answer - writer of the answer
   * @param memory - memory of the answer, which is returned when it is ended
   * @param nowMs - time, monotonic milliseconds
   */
  add(answer: SentAnswer, memory: {release(): void}, nowMs: number): void {
    const end = (): void => {
      memory.release();
      answer.abort();
    };
    const unread = {sinceMs: nowMs, end};
    this.answers.add(unread);
    answer.subscribeToClose(() => {
      this.answers.delete(unread);
      memory.release();
    });
  }

  /**
   * Ends the answer that has been unread for longest, if that is long enough.
   *
   * @param nowMs - time, monotonic milliseconds
   * @returns whether one was ended
   */
  endOldest(nowMs: number): boolean {
    const [oldest] = this.answers;
    if (!oldest || nowMs - oldest.sinceMs < UNREAD_MS) return false;
    this.answers.delete(oldest);
    oldest.end();
    return true;
  }
}
