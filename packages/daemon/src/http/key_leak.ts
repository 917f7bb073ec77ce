/** Finds callers' keys where a backend server would see them. */
import {selectForwardedHeaders} from '@savoryspur/backends';
import {ErrorCode} from '@savoryspur/common';
import type {IncomingMessage} from 'node:http';
import {listPresentedKeys} from './authentication.js';
import {getHeaders} from './caller_request.js';
import type {Refusal} from './refusal.js';

/** Escape of one character in a query or an HTML form. */
const PERCENT_ESCAPE = /%([0-9a-f]{2})/gi;

/** Escape of one UTF-16 unit in JSON text. */
const JSON_ESCAPE = /\\u([0-9a-f]{4})/gi;

/** Start of a JSON escape. */
const JSON_ESCAPE_START = '\\u';

/** Text of a request that a backend server may see. */
interface VisiblePart {
  field: string;
  /** Tells whether the part contains a key, in any of its spellings. */
  hasKey: (key: string) => boolean;
}

/**
 * Refuses a request that carries one of its keys anywhere but in the headers
 * that present it, since a backend server would see it there.
 *
 * @param message - the request
 * @param body - its whole body
 */
export function refuseLeakedKey(
  message: IncomingMessage,
  body: Buffer,
): Refusal | undefined {
  const keys = listPresentedKeys(message);
  if (keys.length === 0) return undefined;
  for (const {field, hasKey} of listVisibleParts(message, body)) {
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

function listVisibleParts(
  message: IncomingMessage,
  body: Buffer,
): VisiblePart[] {
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

/** Decodes the escapes of a JSON body or an HTML form; empty without any. */
function decodeBody(body: Buffer): string {
  const hasJsonEscapes = body.includes(JSON_ESCAPE_START);
  if (!hasJsonEscapes && !body.includes('%')) return '';
  const text = body.toString('utf8');
  const unescaped = hasJsonEscapes ? decodeEscapes(text, JSON_ESCAPE) : text;
  return decodeEscapes(unescaped, PERCENT_ESCAPE);
}

/** Decodes each escape on its own, so that a broken one hides no other. */
function decodeEscapes(text: string, escape: RegExp): string {
  return text.replace(escape, (found, digits: string) =>
    String.fromCharCode(Number.parseInt(digits, 16)),
  );
}
