/** The request of a caller, as the HTTP handlers receive it. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request, its response, and a signal for the caller disconnecting. */
export interface CallerRequest {
  /** Id of the request, unique in the fleet. */
  requestId: string;
  method: string;
  /** Path without the query. */
  path: string;
  /** Path and query as the caller sent them. */
  target: string;
  message: IncomingMessage;
  response: ServerResponse;
  /** Aborts when the caller's connection closes before the answer ends. */
  signal: AbortSignal;
  /** Arrival time on the monotonic clock, milliseconds. */
  arrivedMs: number;
  /** Values of the named segments of the route's path, decoded. */
  params: Record<string, string>;
}

/** Answers one request. A request that fails is answered with an error. */
export type CallerHandler = (request: CallerRequest) => Promise<void>;

/** Gets the first value of a header; empty when the header is absent. */
export function getHeader(message: IncomingMessage, name: string): string {
  const value = message.headers[name];
  if (value === undefined) return '';
  return Array.isArray(value) ? (value[0] ?? '') : value;
}

/** Gets all headers with a single value, by lower-case name. */
export function getHeaders(message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}

/** Parses the query string of a request. */
export function getQuery(request: CallerRequest): URLSearchParams {
  const index = request.target.indexOf('?');
  return new URLSearchParams(index < 0 ? '' : request.target.slice(index + 1));
}
