/**
 * Open-loop load generator: each request is sent at its due time, whether or not
 * the earlier ones have ended, and latencies are measured from the due time.
 */
import type {Clock} from '@savoryspur/common';
import {Agent, request as sendRequest} from 'undici';
import {buildPrompt, computeAnswer} from '../engine/answer_text.js';
import {SeededRandom} from '../seeded_random.js';
import {
  checkNonStreamedAnswer,
  LoadOutcome,
  readStreamedAnswer,
} from './answer_reader.js';
import {type LoadRecord, LoadReport} from './load_report.js';

/** Requests to send, their rate and their targets. */
export interface LoadOptions {
  /** Base URLs for callers, used in rotation. */
  urls: readonly string[];
  /** Secret of the key that requests present; none when absent. */
  key?: string;
  /** Model that requests name. */
  model: string;
  /** Mean number of arrivals per second. */
  ratePerSecond: number;
  /** Time for which new requests are sent, milliseconds. */
  durationMs: number;
  /** Seed of the arrival times, and part of each default prompt. */
  seed: number;
  /** Timeout of one request, milliseconds. */
  timeoutMs: number;
  /** Token limit of an answer; that of the engine when absent. */
  maxTokens?: number;
  /** Whether answers are streamed; true when absent. */
  isStreamed?: boolean;
  /** Creates the prompt of an arrival; prompts are unique when absent. */
  makePrompt?: (index: number) => string;
  /** Called with the record of each request when the request has ended. */
  observe?: (record: LoadRecord) => void;
}

const MS_PER_SECOND = 1000;

/** Characters of an unsuccessful answer that a record keeps. */
const MAX_DETAIL_CHARACTERS = 400;

/** Sends chat requests as a Poisson process that a seed determines. */
export class LoadGenerator {
  private readonly report = new LoadReport();
  private readonly agent = new Agent({pipelining: 1});
  private readonly pending = new Set<Promise<void>>();

  /**
   * @param options - requests, rate and targets
   * @param clock - clock of arrivals and latencies
   */
  constructor(
    private readonly options: LoadOptions,
    private readonly clock: Clock,
  ) {}

  /**
   * Sends all requests and waits until they have ended.
   *
   * @param signal - stops sending new requests when it aborts
   */
  async run(signal?: AbortSignal): Promise<LoadReport> {
    const {seed, ratePerSecond, durationMs} = this.options;
    const random = new SeededRandom(seed);
    const meanIntervalMs = MS_PER_SECOND / ratePerSecond;
    const startedAtMs = this.clock.now();
    let dueMs = startedAtMs + random.takeExponential(meanIntervalMs);
    for (let index = 0; dueMs < startedAtMs + durationMs; index += 1) {
      const waitMs = dueMs - this.clock.now();
      if (waitMs > 0) await this.clock.sleep(waitMs, signal);
      if (signal?.aborted === true) break;
      this.start(index, dueMs);
      dueMs += random.takeExponential(meanIntervalMs);
    }
    await Promise.all(this.pending);
    await this.agent.close();
    return this.report;
  }

  private start(index: number, dueMs: number): void {
    const running = this.send(index, dueMs).then((record) => {
      this.pending.delete(running);
      this.report.add(record);
      this.options.observe?.(record);
    });
    this.pending.add(running);
  }

  private async send(index: number, dueMs: number): Promise<LoadRecord> {
    const {urls} = this.options;
    const record: LoadRecord = {
      index,
      url: urls[index % urls.length]!,
      outcome: LoadOutcome.BROKEN,
      statusCode: 0,
      dueMs,
      totalMs: 0,
      betweenTokensMs: [],
      detail: '',
    };
    try {
      await this.sendBody(record);
    } catch (thrown) {
      const isTimeout =
        thrown instanceof Error && thrown.name === 'TimeoutError';
      if (isTimeout) record.outcome = LoadOutcome.TIMED_OUT;
      record.detail = String(thrown);
    }
    record.totalMs = this.clock.now() - dueMs;
    return record;
  }

  private async sendBody(record: LoadRecord): Promise<void> {
    const {key, isStreamed = true} = this.options;
    const body = this.createBody(record.index);
    const answer = await sendRequest(`${record.url}/v1/chat/completions`, {
      dispatcher: this.agent,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
      },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(this.options.timeoutMs),
    });
    record.statusCode = answer.statusCode;
    const expected = computeAnswer(buildPrompt(body), this.options.maxTokens);
    if (answer.statusCode !== 200) {
      record.outcome = LoadOutcome.REFUSED;
      record.detail = formatDetail(await answer.body.text());
      return;
    }
    if (isStreamed) {
      await this.readStream(record, answer.body, expected);
      return;
    }
    const text = await answer.body.text();
    record.outcome = checkNonStreamedAnswer(text, expected);
    if (record.outcome !== LoadOutcome.COMPLETE)
      record.detail = formatDetail(text);
  }

  private async readStream(
    record: LoadRecord,
    body: AsyncIterable<Buffer>,
    expected: string,
  ): Promise<void> {
    const answer = await readStreamedAnswer(body, expected, this.clock);
    record.outcome = answer.outcome;
    if (answer.outcome !== LoadOutcome.COMPLETE) {
      record.detail = `read ${formatDetail(answer.text)}`;
    }
    const [first] = answer.tokenTimesMs;
    if (first !== undefined) record.firstTokenMs = first - record.dueMs;
    for (const [i, timeMs] of answer.tokenTimesMs.entries()) {
      const previousMs = answer.tokenTimesMs[i - 1];
      if (previousMs !== undefined) {
        record.betweenTokensMs.push(timeMs - previousMs);
      }
    }
  }

  private createBody(index: number): Record<string, unknown> {
    const {model, maxTokens, isStreamed = true, seed} = this.options;
    const content =
      this.options.makePrompt?.(index) ?? `arrival ${index} of seed ${seed}`;
    return {
      model,
      messages: [{role: 'user', content}],
      stream: isStreamed,
      ...(maxTokens === undefined ? {} : {max_tokens: maxTokens}),
    };
  }
}

function formatDetail(text: string): string {
  return text.slice(0, MAX_DETAIL_CHARACTERS);
}
