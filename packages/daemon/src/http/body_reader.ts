/** Reads request bodies up to a maximum size and parses them. */
import {ErrorCode} from '@savoryspur/common';
import {err, ok, type Result} from 'neverthrow';
import type {IncomingMessage} from 'node:http';
import type {Refusal} from './refusal.js';

/**
 * Reads the body of a request into memory.
 *
 * @param message - the request
 * @param maxBytes - largest accepted body, bytes
 * @returns the body, or a refusal when it is too large or the connection broke
 *     before its end
 */
export async function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of message as AsyncIterable<Buffer>) {
      size += part.length;
      if (size > maxBytes) return err(refuseTooLargeBody(maxBytes));
      parts.push(part);
    }
  } catch (thrown) {
    return err({
      code: ErrorCode.CANCELLED,
      message: 'The connection closed before the end of the request body.',
    });
  }
  return ok(Buffer.concat(parts));
}

function refuseTooLargeBody(maxBytes: number): Refusal {
  return {
    code: ErrorCode.INVALID_INPUT,
    field: 'body',
    detail: 'body_too_large',
    message: `body: found more than ${maxBytes} bytes, expected at most that`,
  };
}

/**
 * Parses a body as a JSON object.
 *
 * @returns the object, or a refusal when the body is not a JSON object
 */
export function parseJsonObject(
  body: Buffer,
): Result<Record<string, unknown>, Refusal> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    return err({
      code: ErrorCode.INVALID_INPUT,
      field: 'body',
      message: `body: found no JSON (${reason}), expected a JSON object`,
    });
  }
  if (value !== null && typeof value === 'object' && !Array.isArray(value)) {
    return ok(value as Record<string, unknown>);
  }
  return err({
    code: ErrorCode.INVALID_INPUT,
    field: 'body',
    message:
      'body: found a JSON value that is not an object, expected a JSON object',
  });
}
