/** Traces as JSON Lines: each line holds time, actor, action and outcome. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  formatFieldError,
  type TraceStep,
  validateTraceStep,
} from '@savoryspur/schema';

/**
 * Parses a trace. Empty lines and lines that start with `#` are skipped.
 *
 * @param text - trace as JSON Lines
 * @throws SavoryspurError when a line is not a valid step
 */
export function parseTrace(text: string): TraceStep[] {
  const steps: TraceStep[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    steps.push(parseStep(line, index + 1));
  }
  return steps;
}

/** Formats the steps of a trace as JSON Lines. */
export function formatTrace(steps: readonly TraceStep[]): string {
  return steps.map((step) => `${JSON.stringify(step)}\n`).join('');
}

function parseStep(line: string, lineNumber: number): TraceStep {
  const origin = {step: 'testkit.trace', peer: `line ${lineNumber}`};
  const {INVALID_INPUT} = ErrorCode;
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw new SavoryspurError(INVALID_INPUT, origin, 'the line is not JSON');
  }
  const validated = validateTraceStep(value);
  if (validated.isOk()) return validated.value;
  const message = formatFieldError(validated.error);
  throw new SavoryspurError(INVALID_INPUT, origin, message);
}
