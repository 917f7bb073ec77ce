/** Reads answers as a caller does, and checks that they are complete and right. */
import type {Clock} from '@savoryspur/common';

/** How one request ended, as its caller sees it. */
export enum LoadOutcome {
  /** The complete answer to the prompt of the request. */
  COMPLETE = 'whole',
  /** An answer that seems complete, but whose text is not the expected one. */
  WRONG = 'wrong',
  /** A stream that ended without the event that ends a complete answer. */
  TRUNCATED = 'truncated',
  /** A stream that ended with an error event. */
  ERROR_EVENT = 'error_event',
  /** An answer with an error status. */
  REFUSED = 'refused',
  /** The connection failed before the end of the answer. */
  BROKEN = 'broken',
  /** The answer did not end within the timeout. */
  TIMED_OUT = 'timed_out',
}

/** What a caller saw of one streamed answer. */
export interface ReadAnswer {
  outcome: LoadOutcome;
  /** Text of the answer as far as it was read. */
  text: string;
  /** Times at which tokens arrived, milliseconds of the clock. */
  tokenTimesMs: number[];
}

/** Fields of an event that are read. */
interface StreamEvent {
  error?: unknown;
  choices?: Array<{
    text?: string;
    delta?: {content?: string};
    finish_reason?: string | null;
  }>;
}

/** Data of the event that ends the stream of a complete answer. */
const END_MARKER = '[DONE]';

/** Prefix of the lines of an event stream that hold data. */
const DATA_PREFIX = 'data:';

/**
 * Reads a streamed answer.
 *
 * @param body - bytes of the answer
 * @param expected - text of the right answer
 * @param clock - clock of the token times
 * @returns the text and the outcome
 * @throws when the connection fails before the end of the body
 */
export async function readStreamedAnswer(
  body: AsyncIterable<Buffer | Uint8Array>,
  expected: string,
  clock: Clock,
): Promise<ReadAnswer> {
  const answer: ReadAnswer = {
    outcome: LoadOutcome.TRUNCATED,
    text: '',
    tokenTimesMs: [],
  };
  for await (const data of readData(body)) {
    if (data === END_MARKER) {
      const isRight = answer.text === expected;
      answer.outcome = isRight ? LoadOutcome.COMPLETE : LoadOutcome.WRONG;
      continue;
    }
    addEvent(answer, JSON.parse(data) as StreamEvent, clock);
  }
  return answer;
}

/**
 * Compares a non-streamed answer with the expected text.
 *
 * @param text - body of the answer
 * @param expected - text of the right answer
 */
export function checkNonStreamedAnswer(
  text: string,
  expected: string,
): LoadOutcome {
  const {choices} = JSON.parse(text) as {
    choices?: Array<{text?: string; message?: {content?: string}}>;
  };
  const found = choices?.[0]?.message?.content ?? choices?.[0]?.text;
  return found === expected ? LoadOutcome.COMPLETE : LoadOutcome.WRONG;
}

function addEvent(answer: ReadAnswer, event: StreamEvent, clock: Clock): void {
  if (event.error !== undefined) answer.outcome = LoadOutcome.ERROR_EVENT;
  const choice = event.choices?.[0];
  const token = choice?.delta?.content ?? choice?.text ?? '';
  if (token === '') return;
  answer.text += token;
  answer.tokenTimesMs.push(clock.now());
}

async function* readData(
  body: AsyncIterable<Buffer | Uint8Array>,
): AsyncGenerator<string, void, void> {
  const decoder = new TextDecoder();
  let incompleteLine = '';
  for await (const bytes of body) {
    const lines = (
      incompleteLine + decoder.decode(bytes, {stream: true})
    ).split('\n');
    incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      if (!line.startsWith(DATA_PREFIX)) continue;
      yield line.slice(DATA_PREFIX.length).trim();
    }
  }
}
