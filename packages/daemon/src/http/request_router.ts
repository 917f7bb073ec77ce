/** Routes HTTP requests to handlers by method and path. */
import type {CallerHandler} from './caller_request.js';

/** A route of the HTTP API. */
export interface HttpRoute {
  method: string;
  /** Path with named segments, such as `/v1/files/:id/content`. */
  pattern: string;
  handler: CallerHandler;
}

/** The handler of a request and the values of the named path segments. */
export interface RouteMatch {
  handler: CallerHandler;
  params: Record<string, string>;
}

/**
 * Matches a path against a pattern.
 *
 * @returns the decoded values of the named segments, or undefined when the path
 *     does not match
 */
export function matchPattern(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const patternParts = pattern.split('/');
  const pathParts = path.split('/');
  if (patternParts.length !== pathParts.length) return undefined;
  const params: Record<string, string> = {};
  for (const [index, part] of patternParts.entries()) {
    const value = pathParts[index] ?? '';
    if (part.startsWith(':')) {
      if (value === '') return undefined;
      params[part.slice(1)] = decodePart(value);
      continue;
    }
    if (part !== value) return undefined;
  }
  return params;
}

function decodePart(value: string): string {
  try {
    return decodeURIComponent(value);
  } catch (thrown) {
    return value;
  }
}

/** Routes requests by a table of routes. */
export class RequestRouter {
  /**
   * @param routes - routes; the first match wins
   */
  constructor(private readonly routes: readonly HttpRoute[]) {}

  /** Finds the handler of a request; undefined when there is none. */
  find(method: string, path: string): RouteMatch | undefined {
    for (const route of this.routes) {
      if (route.method !== method) continue;
      const params = matchPattern(route.pattern, path);
      if (params) return {handler: route.handler, params};
    }
    return undefined;
  }
}
