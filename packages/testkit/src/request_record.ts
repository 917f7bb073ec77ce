/** Record of the requests that a stand-in received, for tests to search. */
import type {Clock} from '@savoryspur/common';
import type {
  Arrival,
  ArrivalList,
  RequestSearchAnswer,
} from '@savoryspur/schema';
import type {StandInRequest} from './http_stand_in.js';

/** Number of requests whose text is kept; the oldest are dropped first. */
const MAX_RECORDED_TEXTS = 5000;

/** Bytes of a request body that are kept. */
const MAX_RECORDED_BODY_BYTES = 65_536;

/** Number of arrivals that are kept; later ones are only counted. */
const MAX_RECORDED_ARRIVALS = 200_000;

/** Characters of an arrival's tag that are kept. */
const MAX_TAG_CHARACTERS = 64;

/** Number of distinct values that are kept of one header. */
const MAX_VALUES_PER_HEADER = 1000;

/** Records the arrival, id, headers and text of requests. */
export class RequestRecord {
  private readonly countsById = new Map<string, number>();
  private readonly headers = new Map<string, Set<string>>();
  private readonly texts: string[] = [];
  private droppedTexts = 0;
  private readonly arrivals: Arrival[] = [];
  private droppedArrivals = 0;

  /** @param clock - source of the wall time of arrivals */
  constructor(private readonly clock: Clock) {}

  /**
   * Adds one request.
   *
   * @param request - request to record
   * @param tag - prompt or call id by which a test recognizes the request
   */
  add(request: StandInRequest, tag: string): void {
    this.addArrival(request, tag);
    const id = request.headers['x-request-id'];
    if (typeof id === 'string') {
      this.countsById.set(id, (this.countsById.get(id) ?? 0) + 1);
    }
    for (const [name, value] of Object.entries(request.headers)) {
      this.addHeader(name, String(value));
    }
    this.addText(request);
  }

  /** Reports how many requests arrived with each request id. */
  reportCounts(): Record<string, number> {
    return Object.fromEntries(this.countsById);
  }

  /** Reports the distinct values of each header, by header name. */
  reportHeaders(): Record<string, string[]> {
    const report: Record<string, string[]> = {};
    for (const [name, values] of this.headers) report[name] = [...values];
    return report;
  }

  /** Lists the arrivals that are kept, and counts the others. */
  listArrivals(): ArrivalList {
    return {arrivals: this.arrivals, dropped: this.droppedArrivals};
  }

  /** Counts the kept requests whose URL, headers or body contain a text. */
  findText(text: string): RequestSearchAnswer {
    const found = this.texts.filter((t) => t.includes(text)).length;
    return {found, searched: this.texts.length, dropped: this.droppedTexts};
  }

  private addArrival(request: StandInRequest, tag: string): void {
    if (this.arrivals.length === MAX_RECORDED_ARRIVALS) {
      this.droppedArrivals += 1;
      return;
    }
    this.arrivals.push({
      requestId: String(request.headers['x-request-id'] ?? ''),
      tag: tag.slice(0, MAX_TAG_CHARACTERS),
      atMs: this.clock.nowWall().getTime(),
    });
  }

  private addHeader(name: string, value: string): void {
    const values = this.headers.get(name) ?? new Set();
    if (values.size < MAX_VALUES_PER_HEADER) values.add(value);
    this.headers.set(name, values);
  }

  private addText(request: StandInRequest): void {
    const head = `${request.method} ${request.url.href}`;
    const headers = JSON.stringify(request.headers);
    const body = request.body.toString('utf8', 0, MAX_RECORDED_BODY_BYTES);
    this.texts.push(`${head}\n${headers}\n${body}`);
    if (this.texts.length <= MAX_RECORDED_TEXTS) return;
    this.texts.shift();
    this.droppedTexts += 1;
  }
}
