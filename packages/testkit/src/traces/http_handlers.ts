/** Trace handlers that send HTTP requests. */
import type {TraceStep} from '@savoryspur/schema';
import {request as sendRequest} from 'undici';
import type {TraceHandlers} from './replay.js';

/** Input of a step that sends an HTTP request. */
interface HttpInput {
  path?: string;
  headers?: Record<string, string>;
  body?: unknown;
}

/** Outcome of a step that sends an HTTP request. */
export interface HttpOutcome {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /** Parsed JSON, or the text when it is not JSON. */
  body: unknown;
}

/** Timeout of one request, milliseconds. */
const CALL_TIMEOUT_MS = 30_000;

/**
 * Creates handlers for the actions `get` and `post`. The input of such a step
 * holds the path, headers and body of the request.
 *
 * @param findUrl - finds the base URL to which an actor sends its requests
 */
export function createHttpHandlers(
  findUrl: (actor: string) => string,
): TraceHandlers {
  return {
    get: (step) => sendStep('GET', findUrl(step.actor), step),
    post: (step) => sendStep('POST', findUrl(step.actor), step),
  };
}

async function sendStep(
  method: 'GET' | 'POST',
  url: string,
  step: TraceStep,
): Promise<HttpOutcome> {
  const {path = '/', headers = {}, body} = (step.input ?? {}) as HttpInput;
  const answer = await sendRequest(`${url}${path}`, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
    reset: true,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body: parseText(text),
  };
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
