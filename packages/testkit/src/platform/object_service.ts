/** Object store in memory, with range reads. */
import {
  createJsonAnswer,
  type StandInAnswer,
  type StandInHandler,
  type StandInRequest,
  type StandInRoute,
  StatusError,
} from '../http_stand_in.js';

/** Byte range of an object, both ends included. */
interface InclusiveRange {
  start: number;
  end: number;
}

/** Adds fault injection and counters to the handler of one kind of call. */
export type HandlerWrapper = (
  kind: string,
  isWrite: boolean,
  handle: StandInHandler,
) => StandInHandler;

/** HTTP methods that change stored objects. */
const WRITING_METHODS = new Set(['PUT', 'DELETE']);

/** Objects by name, and the HTTP handlers that read and change them. */
export class ObjectService {
  private readonly objects = new Map<string, Buffer>();

  /**
   * Lists the HTTP routes of the object store.
   *
   * @param createHandler - adds fault injection and counters to a handler
   */
  listRoutes(createHandler: HandlerWrapper): StandInRoute[] {
    const objectPath = /^\/v1\/objects\/([^/]+)$/;
    const listPath = /^\/v1\/objects$/;
    const handlers: Array<[string, RegExp, string, StandInHandler]> = [
      ['GET', listPath, 'list', (request) => this.list(request)],
      ['PUT', objectPath, 'put', (request) => this.put(request)],
      ['GET', objectPath, 'get', (request) => this.get(request)],
      ['DELETE', objectPath, 'delete', (request) => this.delete(request)],
    ];
    return handlers.map(([method, path, kind, handle]) => ({
      method,
      path,
      handle: createHandler(kind, WRITING_METHODS.has(method), handle),
    }));
  }

  /** Counts the objects. */
  count(): number {
    return this.objects.size;
  }

  private put(request: StandInRequest): StandInAnswer {
    this.objects.set(request.groups[0]!, request.body);
    return {statusCode: 200};
  }

  private get(request: StandInRequest): StandInAnswer {
    const body = this.objects.get(request.groups[0]!);
    if (body === undefined) {
      return createJsonAnswer({error: {code: 'not_found'}}, 404);
    }
    const range = parseRange(request.headers.range, body.length);
    if (range === undefined) return {statusCode: 200, body};
    return {
      statusCode: 206,
      headers: {
        'content-range': `bytes ${range.start}-${range.end}/${body.length}`,
      },
      body: body.subarray(range.start, range.end + 1),
    };
  }

  private delete(request: StandInRequest): StandInAnswer {
    this.objects.delete(request.groups[0]!);
    return {statusCode: 204};
  }

  private list(request: StandInRequest): StandInAnswer {
    const prefix = request.url.searchParams.get('prefix') ?? '';
    const names = [...this.objects.keys()].filter((n) => n.startsWith(prefix));
    return createJsonAnswer({names: names.sort()});
  }
}

function parseRange(
  header: string | undefined,
  length: number,
): InclusiveRange | undefined {
  if (header === undefined) return undefined;
  const match = /^bytes=(\d+)-(\d*)$/.exec(header);
  if (match === null) throw new StatusError(400, 'unsupported range header');
  const start = Number(match[1]);
  const end = match[2] === '' ? length - 1 : Number(match[2]);
  if (start >= length || end < start)
    throw new StatusError(416, 'the range is empty or outside the object');
  return {start, end: Math.min(end, length - 1)};
}
