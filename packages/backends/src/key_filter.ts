/**
 * Removes the keys of callers from requests to backend servers: forwards only
 * the headers of an allow-list and removes key parameters from queries and
 * bodies.
 */

/** Headers of a caller that are forwarded to backend servers. */
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

/** Comparable names of query and form parameters that carry keys. */
const KEY_PARAMETER_NAMES: ReadonlySet<string> = new Set([
  'key',
  'apikey',
  'accesstoken',
  'authorization',
  'xapikey',
  'token',
]);

/**
 * Comparable names of JSON body fields that carry keys. `key` is not one of
 * them, since applications use this field for other purposes.
 */
const KEY_FIELD_NAMES: ReadonlySet<string> = new Set([
  'apikey',
  'accesstoken',
  'authorization',
  'xapikey',
]);

/** Content type of URL-encoded HTML forms. */
const FORM_CONTENT_TYPE = 'application/x-www-form-urlencoded';

/** Converts a name to lower case without hyphens and underscores. */
function toComparableName(name: string): string {
  return name.toLowerCase().replace(/[-_]/g, '');
}

/**
 * Selects the headers that are forwarded to a backend server.
 *
 * @param headers - headers of the caller
 * @returns the allowed headers, with names in lower case
 */
export function selectForwardedHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCaseName = name.toLowerCase();
    if (FORWARDED_HEADERS.has(lowerCaseName)) selected[lowerCaseName] = value;
  }
  return selected;
}

/** Decodes the name of a query parameter; returns an invalid name unchanged. */
function decodeName(text: string): string {
  try {
    return decodeURIComponent(text.replaceAll('+', ' '));
  } catch (thrown) {
    return text;
  }
}

/** Removes key parameters from the text of a query or of a form body. */
function removeKeyPairs(query: string): string {
  const kept = query.split('&').filter((pair) => {
    const name = decodeName(pair.split('=', 1)[0] ?? '');
    return !KEY_PARAMETER_NAMES.has(toComparableName(name.trim()));
  });
  return kept.join('&');
}

/**
 * Removes key parameters from the query of a path, and removes the fragment.
 *
 * @param path - path and query
 * @returns the path with the other parameters unchanged
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
 * @returns the same object when it has no key field, otherwise a copy
 */
export function removeKeyFields(
  body: Record<string, unknown>,
): Record<string, unknown> {
  const entries = Object.entries(body);
  const kept = entries.filter(
    ([name]) => !KEY_FIELD_NAMES.has(toComparableName(name)),
  );
  return kept.length === entries.length ? body : Object.fromEntries(kept);
}

/**
 * Removes key fields from a JSON object. Returns any other body unchanged, also
 * one that is not valid JSON.
 */
function removeKeysFromJson(body: Buffer): Buffer {
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
 * @param contentType - content type; empty when the request has none
 * @returns the same buffer when the body has no key field
 */
export function removeKeysFromBody(body: Buffer, contentType: string): Buffer {
  if (body.length === 0) return body;
  const type = contentType.toLowerCase();
  if (type.includes('json')) return removeKeysFromJson(body);
  if (!type.startsWith(FORM_CONTENT_TYPE)) return body;
  const text = body.toString('utf8');
  const kept = removeKeyPairs(text);
  return kept === text ? body : Buffer.from(kept);
}
