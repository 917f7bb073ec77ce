/** Reads answers as a caller does, and judges whether they are whole. */
import type {Clock} from '@savoryspur/common';

/** How one request ended, as its caller sees it. */
export enum LoadOutcome {
  /** The whole answer to this prompt. */
  COMPLETE = 'whole',
  /** An answer that passes for whole, with another text. */
  WRONG = 'wrong',
  /** A stream that ended without its end mark. */
  TRUNCATED = 'truncated',
  /** A stream that ended with a typed error. */
  ERROR_EVENT = 'error_event',
  /** An answer with an error status. */
  REFUSED = 'refused',
  /** The connection broke before the end. */
  BROKEN = 'broken',
  /** No end within the bound. */
  TIMED_OUT = 'timed_out',
}

/** What a caller saw of one streamed answer. */
export interface ReadAnswer {
  outcome: LoadOutcome;
  /** Text of the answer so far. */
  text: string;
  /** Times at which tokens arrived, milliseconds of the clock. */
  tokenTimesMs: number[];
}

/** Part of an event that callers read. */
interface StreamEvent {
  error?: unknown;
  choices?: Array<{
    text?: string;
    delta?: {content?: string};
    finish_reason?: string | null;
  }>;
}

/** Data of the event that ends a whole answer. */
const END_MARK = '[DONE]';

/** Start of the lines with data. */
const DATA_PREFIX = 'data:';

/**
 * Reads a streamed answer.
 *
 * @param body - bytes of the answer
 * @param expected - text of the right answer
 * @param clock - time of the tokens
 * @returns what was read; throws when the connection breaks
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
    if (data === END_MARK) {
      const isRight = answer.text === expected;
      answer.outcome = isRight ? LoadOutcome.COMPLETE : LoadOutcome.WRONG;
      continue;
    }
    addEvent(answer, JSON.parse(data) as StreamEvent, clock);
  }
  return answer;
}

/**
 * Judges a whole answer that was not streamed.
 *
 * @param text - body of the answer
 * @param expected - text of the right answer
 */
export function checkWholeAnswer(text: string, expected: string): LoadOutcome {
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
  let rest = '';
  for await (const bytes of body) {
    const lines = (rest + decoder.decode(bytes, {stream: true})).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) {
      if (!line.startsWith(DATA_PREFIX)) continue;
      yield line.slice(DATA_PREFIX.length).trim();
    }
  }
}
