/** Generates answers token by token. */
import {randomUUID} from 'node:crypto';
import type {Clock} from '@savoryspur/common';
import {
  computeAnswerTokens,
  computePrefixHash,
  DEFAULT_ANSWER_TOKENS,
} from './answer_text.js';
import type {EngineLoad} from './engine_load.js';
import {END_MARKER, EngineStream, StreamEnd} from './engine_stream.js';
import {
  type AnswerHead,
  computeUsage,
  FinishReason,
  renderFinish,
  renderToken,
  renderUsage,
} from './openai_wire.js';
import type {PrefixCache} from './prefix_cache.js';

/** Form of the answer that a request asks for. */
export interface GenerationRequest {
  /** Whether the request is a chat completion. */
  isChat: boolean;
  /** Token limit of the answer; undefined for the default. */
  maxTokens: number | undefined;
  /** Whether the stream ends with an event with the token counts. */
  includeUsage: boolean;
}

/** Counters over all answers of an engine. */
export interface GenerationCounters {
  completed: number;
  cancelled: number;
  tokens: number;
  prefixHits: number;
  prefixMisses: number;
}

/** Generates answers with the token times that the engine's load determines. */
export class AnswerGenerator {
  /** Counters over all answers. */
  readonly counters: GenerationCounters = {
    completed: 0,
    cancelled: 0,
    tokens: 0,
    prefixHits: 0,
    prefixMisses: 0,
  };

  /**
   * @param load - load and speed of the engine
   * @param cache - prompt prefix cache of the engine
   * @param clock - clock of the token times
   */
  constructor(
    private readonly load: EngineLoad,
    private readonly cache: PrefixCache,
    private readonly clock: Clock,
  ) {}

  /**
   * Generates one answer. The load already counts its request as running; when
   * the answer ends, the load stops counting it, unless the engine has restarted
   * in the meantime.
   *
   * @param stream - answer to which the events are appended
   * @param request - form of the answer
   */
  async run(stream: EngineStream, request: GenerationRequest): Promise<void> {
    const {boot} = this.load;
    await this.appendTokens(stream, request);
    stream.finish(StreamEnd.COMPLETED);
    if (stream.end === StreamEnd.COMPLETED) this.counters.completed += 1;
    if (stream.end === StreamEnd.CANCELLED) this.counters.cancelled += 1;
    if (boot !== this.load.boot) return;
    this.load.removeRunning(stream.end === StreamEnd.COMPLETED);
  }

  private async appendTokens(
    stream: EngineStream,
    request: GenerationRequest,
  ): Promise<void> {
    const head = createHead(stream, request);
    const tokens = computeAnswerTokens(stream.prompt, request.maxTokens);
    let waitMs = this.load.computeFirstTokenMs(this.useCache(stream.prompt));
    for (const [index, token] of tokens.entries()) {
      await this.clock.sleep(waitMs, stream.signal);
      if (stream.end !== undefined) return;
      stream.append(renderToken(head, token, index === 0));
      this.counters.tokens += 1;
      waitMs = this.load.computeBetweenTokensMs();
    }
    stream.append(renderFinish(head, chooseFinishReason(request)));
    if (request.includeUsage) {
      const usage = computeUsage(stream.prompt, tokens.length);
      stream.append(renderUsage(head, usage));
    }
    stream.append(END_MARKER);
  }

  private useCache(prompt: string): boolean {
    const isHit = this.cache.use(computePrefixHash(prompt));
    if (isHit) this.counters.prefixHits += 1;
    else this.counters.prefixMisses += 1;
    return isHit;
  }
}

/** Creates a complete answer to a prompt that no client sent. */
export function createUnrelatedStream(model: string): EngineStream {
  const request = {isChat: true, maxTokens: undefined, includeUsage: false};
  const stream = new EngineStream(randomUUID(), 'prompt of nobody', model);
  const head = createHead(stream, request);
  for (const [index, token] of computeAnswerTokens(stream.prompt).entries()) {
    stream.append(renderToken(head, token, index === 0));
  }
  stream.append(renderFinish(head, chooseFinishReason(request)));
  stream.append(END_MARKER);
  stream.finish(StreamEnd.COMPLETED);
  return stream;
}

/** Creates the fields that all events of an answer share. */
export function createHead(
  stream: EngineStream,
  request: GenerationRequest,
): AnswerHead {
  const {requestId, model} = stream;
  return {requestId, model, isChat: request.isChat};
}

/** Chooses the finish reason of a complete answer. */
export function chooseFinishReason(request: GenerationRequest): FinishReason {
  const {maxTokens = DEFAULT_ANSWER_TOKENS} = request;
  return maxTokens < DEFAULT_ANSWER_TOKENS
    ? FinishReason.LENGTH
    : FinishReason.STOP;
}
