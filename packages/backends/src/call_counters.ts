/** Counts of answers, events and calls that failed or were discarded. */
export interface CallCounters {
  /** Answers and events that belong to another request. */
  misdirectedAnswers: number;
  /** Answers that were truncated or malformed. */
  brokenAnswers: number;
  /** Events that were received more than once. */
  duplicateEvents: number;
  /** Gaps in the event numbers of streams. */
  eventGaps: number;
  /** Resumptions of streams on new connections. */
  resumedStreams: number;
  /** Calls whose timeout expired. */
  timeouts: number;
}

/** Creates counters that start at zero. */
export function createCallCounters(): CallCounters {
  return {
    misdirectedAnswers: 0,
    brokenAnswers: 0,
    duplicateEvents: 0,
    eventGaps: 0,
    resumedStreams: 0,
    timeouts: 0,
  };
}
