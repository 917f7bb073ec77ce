/** What a stand-in saw of its requests, so that tests can search it. */
import type {Clock} from '@savoryspur/common';
import type {
  Arrival,
  ArrivalList,
  RequestSearchAnswer,
} from '@savoryspur/schema';
import type {StandInRequest} from './http_stand_in.js';

/** Requests whose whole text is held. */
const MAX_HELD_REQUESTS = 5000;

/** Characters of one request that are held. */
const MAX_HELD_CHARACTERS = 65_536;

/** Arrivals that are held. */
const MAX_HELD_ARRIVALS = 200_000;

/** Characters of a tag that are held. */
const MAX_TAG_CHARACTERS = 64;

/** Distinct values of one header that are held. */
const MAX_HEADER_VALUES = 1000;

/** Records requests, their ids and their headers. */
export class RequestRecord {
  private readonly counts = new Map<string, number>();
  private readonly headers = new Map<string, Set<string>>();
  private readonly texts: string[] = [];
  private dropped = 0;
  private readonly arrivals: Arrival[] = [];
  private droppedArrivals = 0;

  /** @param clock - wall time of arrivals */
  constructor(private readonly clock: Clock) {}

  /**
   * Adds one request.
   *
   * @param request - the request
   * @param tag - prompt or call id by which a test knows the request
   */
  add(request: StandInRequest, tag: string): void {
    this.addArrival(request, tag);
    const id = request.headers['x-request-id'];
    if (typeof id === 'string') {
      this.counts.set(id, (this.counts.get(id) ?? 0) + 1);
    }
    for (const [name, value] of Object.entries(request.headers)) {
      this.addHeader(name, String(value));
    }
    this.addText(request);
  }

  /** Reports how often each request id came. */
  reportCounts(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }

  /** Reports the distinct values of each header. */
  reportHeaders(): Record<string, string[]> {
    const report: Record<string, string[]> = {};
    for (const [name, values] of this.headers) report[name] = [...values];
    return report;
  }

  /** Lists the arrivals. */
  listArrivals(): ArrivalList {
    return {arrivals: this.arrivals, dropped: this.droppedArrivals};
  }

  /** Counts the held requests that contain a text anywhere. */
  find(text: string): RequestSearchAnswer {
    const found = this.texts.filter((t) => t.includes(text)).length;
    return {found, searched: this.texts.length, dropped: this.dropped};
  }

  private addArrival(request: StandInRequest, tag: string): void {
    if (this.arrivals.length === MAX_HELD_ARRIVALS) {
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
    if (values.size < MAX_HEADER_VALUES) values.add(value);
    this.headers.set(name, values);
  }

  private addText(request: StandInRequest): void {
    const head = `${request.method} ${request.url.href}`;
    const headers = JSON.stringify(request.headers);
    const body = request.body.toString('utf8', 0, MAX_HELD_CHARACTERS);
    this.texts.push(`${head}\n${headers}\n${body}`);
    if (this.texts.length <= MAX_HELD_REQUESTS) return;
    this.texts.shift();
    this.dropped += 1;
  }
}
