/** Answers completion requests: streamed, non-streamed or resumed. */
import {randomUUID} from 'node:crypto';
import type {Clock} from '@savoryspur/common';
import {
  createJsonAnswer,
  parseJson,
  type StandInAnswer,
  type StandInRequest,
} from '../http_stand_in.js';
import {buildPrompt, computeAnswer} from './answer_text.js';
import {abortAnswer, sendEvents} from './stream_delivery.js';
import type {Engine, EngineRequest} from './engine.js';
import {EngineFaultKind, type FaultPlan, NO_FAULTS} from './engine_faults.js';
import {type EngineStream, StreamEnd} from './engine_stream.js';
import {chooseFinishReason, createHead} from './answer_generator.js';
import {computeUsage, renderNonStreamed} from './openai_wire.js';

/** Handlers of the requests that clients send to an engine. */
export class EngineAnswers {
  /**
   * @param engine - runs the requests
   * @param failMarker - text in a prompt that is answered with 500 each time
   * @param clock - clock that delays late answers
   */
  constructor(
    private readonly engine: Engine,
    private readonly failMarker: string,
    private readonly clock: Clock,
  ) {}

  /** Runs a request and sends its answer. */
  async complete(request: StandInRequest): Promise<StandInAnswer | undefined> {
    const body = parseJson(request.body) as Record<string, unknown>;
    const engineRequest = parseRequest(request, body);
    this.engine.record.add(request, engineRequest.prompt);
    const plan = this.engine.faults.takePlan();
    if (plan.kinds.has(EngineFaultKind.REFUSED)) {
      return createJsonAnswer({error: {code: 'not_run'}}, 503);
    }
    const ownStream = this.engine.start(engineRequest);
    const otherStream = this.chooseOtherStream(ownStream, plan);
    const stream = plan.kinds.has(EngineFaultKind.CROSSED)
      ? otherStream
      : ownStream;
    if (this.isFailing(engineRequest, plan)) return this.fail(ownStream);
    if (body.stream !== true) {
      return this.sendNonStreamed(request, stream, engineRequest, plan);
    }
    const delivery = {lastEventId: -1, plan, otherStream};
    await sendEvents(request.response, stream, delivery, this.clock);
    return undefined;
  }

  /** Sends the events of a stream that follow the one named in the query. */
  async resume(request: StandInRequest): Promise<StandInAnswer | undefined> {
    const stream = this.engine.resumeStream(request.groups[0]!);
    if (stream === undefined) {
      return createJsonAnswer({error: {code: 'not_found'}}, 404);
    }
    const lastEventId = Number(request.url.searchParams.get('after') ?? -1);
    const delivery = {lastEventId, plan: NO_FAULTS, otherStream: stream};
    await sendEvents(request.response, stream, delivery, this.clock);
    return undefined;
  }

  private chooseOtherStream(
    ownStream: EngineStream,
    plan: FaultPlan,
  ): EngineStream {
    const {CROSSED, CROSSED_EVENT} = EngineFaultKind;
    const isCrossed = plan.kinds.has(CROSSED) || plan.kinds.has(CROSSED_EVENT);
    return isCrossed ? this.engine.findOtherStream(ownStream) : ownStream;
  }

  private isFailing(request: EngineRequest, plan: FaultPlan): boolean {
    if (plan.kinds.has(EngineFaultKind.FAILED)) return true;
    return request.prompt.includes(this.failMarker);
  }

  private async fail(stream: EngineStream): Promise<StandInAnswer> {
    await stream.waitForEnd();
    const headers = {'x-request-id': stream.requestId};
    return createJsonAnswer({error: {code: 'engine_failed'}}, 500, headers);
  }

  private async sendNonStreamed(
    request: StandInRequest,
    stream: EngineStream,
    engineRequest: EngineRequest,
    plan: FaultPlan,
  ): Promise<StandInAnswer | undefined> {
    const end = await stream.waitForEnd();
    if (plan.kinds.has(EngineFaultKind.LATE)) {
      await this.clock.sleep(plan.lateMs);
    }
    if (end !== StreamEnd.COMPLETED) {
      request.response.destroy();
      return undefined;
    }
    const answer = createNonStreamedAnswer(stream, engineRequest);
    return sendInterrupted(request, answer, plan) ? undefined : answer;
  }
}

function parseRequest(
  request: StandInRequest,
  body: Record<string, unknown>,
): EngineRequest {
  const requestId = request.headers['x-request-id'];
  const streamOptions = body.stream_options as
    {include_usage?: boolean} | undefined;
  const maxTokens = body.max_completion_tokens ?? body.max_tokens;
  return {
    requestId: typeof requestId === 'string' ? requestId : randomUUID(),
    prompt: buildPrompt(body),
    model: String(body.model),
    isChat: Array.isArray(body.messages),
    maxTokens: typeof maxTokens === 'number' ? maxTokens : undefined,
    includeUsage: streamOptions?.include_usage === true,
  };
}

function createNonStreamedAnswer(
  stream: EngineStream,
  request: EngineRequest,
): StandInAnswer {
  const text = computeAnswer(stream.prompt, request.maxTokens);
  const usage = computeUsage(stream.prompt, text.split(' ').length);
  const reason = chooseFinishReason(request);
  const body = renderNonStreamed(
    createHead(stream, request),
    text,
    reason,
    usage,
  );
  return createJsonAnswer(body, 200, {'x-request-id': stream.requestId});
}

/**
 * Sends half of a non-streamed answer when a fault interrupts it.
 *
 * @returns whether a fault interrupted the answer, so that no more of it may be
 *     sent
 */
function sendInterrupted(
  request: StandInRequest,
  answer: StandInAnswer,
  plan: FaultPlan,
): boolean {
  const {STALLED, RESET, TRUNCATED} = EngineFaultKind;
  const isInterrupted = [STALLED, RESET, TRUNCATED].some((k) =>
    plan.kinds.has(k),
  );
  if (!isInterrupted) return false;
  const body = String(answer.body);
  request.response.writeHead(answer.statusCode, answer.headers);
  request.response.write(body.slice(0, body.length / 2));
  return abortAnswer(request.response, plan);
}
