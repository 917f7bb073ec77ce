/** Replays traces and compares the outcomes with the expected ones. */
import type {Clock, ManualClock} from '@savoryspur/common';
import type {TraceStep} from '@savoryspur/schema';

/** Performs one step of a trace and returns its outcome, or a promise of it. */
export type TraceHandler = (step: TraceStep) => unknown;

/** Handlers of the system under test, by action. */
export type TraceHandlers = Readonly<Record<string, TraceHandler>>;

/** Timeline on which a trace is replayed. */
export interface TraceTime {
  /**
   * Waits until a time of the trace is reached.
   *
   * @param atMs - time since the start of the trace, milliseconds
   */
  waitUntil(atMs: number): Promise<void>;
}

/** Step whose outcome differs from the expected one. */
export interface TraceMismatch {
  /** Number of the step, from 1. */
  step: number;
  action: string;
  actor: string;
  expected: unknown;
  found: unknown;
}

/**
 * Turns of the event loop after each advance of a manual clock, in which the
 * callbacks of the system under test run.
 */
const TURNS_PER_ADVANCE = 5;

/** Timeline that advances a manual clock. */
export class ManualTraceTime implements TraceTime {
  private readonly startMs: number;

  /** @param clock - clock of the system under test */
  constructor(private readonly clock: ManualClock) {
    this.startMs = clock.now();
  }

  /** {@inheritDoc TraceTime.waitUntil} */
  async waitUntil(atMs: number): Promise<void> {
    const waitMs = this.startMs + atMs - this.clock.now();
    if (waitMs > 0) this.clock.advance(waitMs);
    for (let turn = 0; turn < TURNS_PER_ADVANCE; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** Timeline that waits in real time. */
export class RealTraceTime implements TraceTime {
  private readonly startMs: number;

  /** @param clock - clock that runs in real time */
  constructor(private readonly clock: Clock) {
    this.startMs = clock.now();
  }

  /** {@inheritDoc TraceTime.waitUntil} */
  async waitUntil(atMs: number): Promise<void> {
    const waitMs = this.startMs + atMs - this.clock.now();
    if (waitMs > 0) await this.clock.sleep(waitMs);
  }
}

/**
 * Replays a trace step by step. Each step begins when its time is reached and
 * the step before it has its outcome.
 *
 * @param steps - steps of the trace, ordered by time
 * @param handlers - handlers of the system under test, by action
 * @param time - timeline on which the trace is replayed
 * @returns the steps whose outcome differs from the expected one
 */
export async function replayTrace(
  steps: readonly TraceStep[],
  handlers: TraceHandlers,
  time: TraceTime,
): Promise<TraceMismatch[]> {
  const mismatches: TraceMismatch[] = [];
  for (const [index, step] of steps.entries()) {
    await time.waitUntil(step.atMs);
    const found = await runStep(step, handlers);
    if (step.expected === undefined) continue;
    if (matchOutcome(step.expected, found)) continue;
    const {action, actor, expected} = step;
    mismatches.push({step: index + 1, action, actor, expected, found});
  }
  return mismatches;
}

/**
 * Tells whether an outcome matches the expected one. Objects may have additional
 * fields; everything else must be equal.
 *
 * @param expected - expected outcome
 * @param found - outcome of the step
 */
export function matchOutcome(expected: unknown, found: unknown): boolean {
  if (typeof expected !== 'object' || expected === null) {
    return Object.is(expected, found);
  }
  if (typeof found !== 'object' || found === null) return false;
  if (Array.isArray(expected)) {
    if (!Array.isArray(found) || found.length !== expected.length) return false;
  }
  for (const [field, value] of Object.entries(expected)) {
    const other = (found as Record<string, unknown>)[field];
    if (!matchOutcome(value, other)) return false;
  }
  return true;
}

async function runStep(
  step: TraceStep,
  handlers: TraceHandlers,
): Promise<unknown> {
  const handle = handlers[step.action];
  if (handle === undefined)
    return {error: `no handler for action ${step.action}`};
  try {
    return await handle(step);
  } catch (thrown) {
    return {error: thrown instanceof Error ? thrown.message : String(thrown)};
  }
}
