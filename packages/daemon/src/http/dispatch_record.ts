/** Tracks whether a request may have run on a backend server. */

/** Whether a request may have run on a backend server; sent to callers. */
export enum RunState {
  /** No byte of the request was sent to a backend server. */
  NOT_RUN = 'not_run',
  /** The request was sent, and its outcome is unknown. */
  UNKNOWN = 'unknown',
  /** A backend server answered the request. */
  RAN = 'ran',
}

/**
 * Run state of one request over all its attempts. Every refusal takes its run
 * state from this record, so an answer reports `not_run` only when no attempt
 * sent anything.
 */
export class DispatchRecord {
  private state = RunState.NOT_RUN;

  /** Gets the current run state. */
  getState(): RunState {
    return this.state;
  }

  /** Records that an attempt is about to send the request. */
  recordSending(): void {
    if (this.state === RunState.NOT_RUN) this.state = RunState.UNKNOWN;
  }

  /**
   * Records that an attempt certainly sent no byte of the request.
   *
   * @param stateBefore - run state before the attempt called
   *     {@link recordSending}
   */
  recordNotSent(stateBefore: RunState): void {
    this.state = stateBefore;
  }

  /** Records that a backend server has answered. */
  recordAnswer(): void {
    this.state = RunState.RAN;
  }
}
