/** Finds callers' keys in parts of requests that backend servers receive. */
import {selectForwardedHeaders} from '@savoryspur/backends';
import {ErrorCode} from '@savoryspur/common';
import type {IncomingMessage} from 'node:http';
import {listPresentedKeys} from './authentication.js';
import {getHeaders} from './caller_request.js';
import type {Refusal} from './refusal.js';

/** Percent-encoded byte in a URL or an HTML form. */
const PERCENT_ESCAPE = /%([0-9a-f]{2})/gi;

/** Escaped UTF-16 code unit in JSON text. */
const JSON_ESCAPE = /\\u([0-9a-f]{4})/gi;

/** First characters of {@link JSON_ESCAPE}. */
const JSON_ESCAPE_START = '\\u';

/** A part of a request that is forwarded to a backend server. */
interface ForwardedPart {
  field: string;
  /** Tells whether the part contains a key, either plain or escaped. */
  hasKey: (key: string) => boolean;
}

/**
 * Refuses a request that contains one of its own keys outside the headers that
 * present keys, because that part would be forwarded to a backend server.
 *
 * @param message - the request
 * @param body - whole body of the request
 * @returns the refusal, or undefined when no key is found
 */
export function refuseLeakedKey(
  message: IncomingMessage,
  body: Buffer,
): Refusal | undefined {
  const keys = listPresentedKeys(message);
  if (keys.length === 0) return undefined;
  for (const {field, hasKey} of listForwardedParts(message, body)) {
    if (!keys.some(hasKey)) continue;
    return {
      code: ErrorCode.INVALID_INPUT,
      field,
      detail: 'key_in_request',
      message: `${field}: found the caller's key, expected it in the authorization header only`,
    };
  }
  return undefined;
}

function listForwardedParts(
  message: IncomingMessage,
  body: Buffer,
): ForwardedPart[] {
  const target = message.url ?? '';
  const decodedTarget = decodeEscapes(target, PERCENT_ESCAPE);
  const headers = Object.entries(selectForwardedHeaders(getHeaders(message)));
  const decodedBody = decodeBody(body);
  return [
    {
      field: 'body',
      hasKey: (key) => body.includes(key) || decodedBody.includes(key),
    },
    {
      field: 'url',
      hasKey: (key) => target.includes(key) || decodedTarget.includes(key),
    },
    ...headers.map(([field, value]) => ({
      field,
      hasKey: (key: string) =>
        value.includes(key) ||
        decodeEscapes(value, PERCENT_ESCAPE).includes(key),
    })),
  ];
}

/**
 * Decodes the escapes in a JSON body or an HTML form.
 *
 * @returns the decoded text; empty when the body contains no escape
 */
function decodeBody(body: Buffer): string {
  const hasJsonEscapes = body.includes(JSON_ESCAPE_START);
  if (!hasJsonEscapes && !body.includes('%')) return '';
  const text = body.toString('utf8');
  const unescaped = hasJsonEscapes ? decodeEscapes(text, JSON_ESCAPE) : text;
  return decodeEscapes(unescaped, PERCENT_ESCAPE);
}

/** Decodes each escape separately, so that a malformed one is left as it is. */
function decodeEscapes(text: string, escape: RegExp): string {
  return text.replace(escape, (found, digits: string) =>
    String.fromCharCode(Number.parseInt(digits, 16)),
  );
}
