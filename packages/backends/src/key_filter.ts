/**
 * Keeps callers' keys away from backend servers: an allow-list of headers, and
 * removal of key parameters from queries and bodies.
 */

/** Headers of a caller that a backend server may see. */
const FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'accept',
  'accept-language',
  'content-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'traceparent',
  'tracestate',
]);

/** Names of query parameters and body fields that carry keys. */
const KEY_NAMES: ReadonlySet<string> = new Set([
  'key',
  'apikey',
  'accesstoken',
  'authorization',
  'xapikey',
  'token',
]);

/** Names of body fields that carry keys; `key` is left to applications. */
const KEY_FIELDS: ReadonlySet<string> = new Set([
  'apikey',
  'accesstoken',
  'authorization',
  'xapikey',
]);

/** Content type of HTML forms. */
const FORM_TYPE = 'application/x-www-form-urlencoded';

/** Spells a name without case, hyphens and underscores. */
function convertName(name: string): string {
  return name.toLowerCase().replace(/[-_]/g, '');
}

/**
 * Selects the headers that go to a backend server.
 *
 * @param headers - headers of the caller
 * @returns the allowed headers, names in lower case
 */
export function selectForwardedHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (FORWARDED_HEADERS.has(lower)) selected[lower] = value;
  }
  return selected;
}

/** Decodes the name of a query parameter; an undecodable one stays as it is. */
function decodeName(text: string): string {
  try {
    return decodeURIComponent(text.replaceAll('+', ' '));
  } catch (thrown) {
    return text;
  }
}

/** Removes key parameters from the text of a query or form. */
function removeKeyPairs(query: string): string {
  const kept = query.split('&').filter((pair) => {
    const name = decodeName(pair.split('=', 1)[0] ?? '');
    return !KEY_NAMES.has(convertName(name.trim()));
  });
  return kept.join('&');
}

/**
 * Removes key parameters from the query of a path.
 *
 * @param path - path and query
 * @returns the path, with the other parameters unchanged
 */
export function removeKeyParameters(path: string): string {
  const withoutFragment = path.split('#', 1)[0] ?? '';
  const start = withoutFragment.indexOf('?');
  if (start < 0) return withoutFragment;
  const query = removeKeyPairs(withoutFragment.slice(start + 1));
  const base = withoutFragment.slice(0, start);
  return query ? `${base}?${query}` : base;
}

/**
 * Removes key fields from the top level of a parsed body.
 *
 * @param body - parsed body
 * @returns the body itself when it has no key field, otherwise a copy
 */
export function removeKeyFields(
  body: Record<string, unknown>,
): Record<string, unknown> {
  const entries = Object.entries(body);
  const kept = entries.filter(([name]) => !KEY_FIELDS.has(convertName(name)));
  return kept.length === entries.length ? body : Object.fromEntries(kept);
}

/** Removes key fields from a JSON body; other bytes stay as they are. */
function removeFromJson(body: Buffer): Buffer {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch (thrown) {
    return body;
  }
  if (parsed === null || typeof parsed !== 'object') return body;
  if (Array.isArray(parsed)) return body;
  const fields = parsed as Record<string, unknown>;
  const kept = removeKeyFields(fields);
  return kept === fields ? body : Buffer.from(JSON.stringify(kept));
}

/**
 * Removes key fields from a body that is JSON or an HTML form.
 *
 * @param body - bytes of the body
 * @param contentType - content type; empty when there is none
 * @returns the same bytes when there is no key field
 */
export function removeKeysFromBody(body: Buffer, contentType: string): Buffer {
  if (body.length === 0) return body;
  const type = contentType.toLowerCase();
  if (type.includes('json')) return removeFromJson(body);
  if (!type.startsWith(FORM_TYPE)) return body;
  const text = body.toString('utf8');
  const kept = removeKeyPairs(text);
  return kept === text ? body : Buffer.from(kept);
}
