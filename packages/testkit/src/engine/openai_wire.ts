/** Bodies of answers in the format of the OpenAI API. */

/** Fields that all events of an answer share. */
export interface AnswerHead {
  requestId: string;
  model: string;
  /** Whether the request was sent to `/v1/chat/completions`. */
  isChat: boolean;
}

/** Token counts of an answer. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
}

/** Why an answer ended. */
export enum FinishReason {
  STOP = 'stop',
  LENGTH = 'length',
}

/** Characters of a prompt that are counted as one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Computes the token counts of an answer. */
export function computeUsage(prompt: string, tokens: number): Usage {
  const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

/** Renders the body of a non-streamed answer. */
export function renderNonStreamed(
  head: AnswerHead,
  text: string,
  finishReason: FinishReason,
  usage: Usage,
): Record<string, unknown> {
  const content = head.isChat
    ? {message: {role: 'assistant', content: text}}
    : {text};
  const choice = {index: 0, ...content, finish_reason: finishReason};
  const object = head.isChat ? 'chat.completion' : 'text_completion';
  return {...renderHead(head, object), choices: [choice], usage};
}

/** Renders the data of the event with one token. */
export function renderToken(
  head: AnswerHead,
  token: string,
  isFirst: boolean,
): string {
  const role = isFirst ? {role: 'assistant'} : {};
  const content = head.isChat
    ? {delta: {...role, content: token}}
    : {text: token};
  return renderChunk(head, [{index: 0, ...content, finish_reason: null}]);
}

/** Renders the data of the event with the finish reason. */
export function renderFinish(head: AnswerHead, reason: FinishReason): string {
  const content = head.isChat ? {delta: {}} : {text: ''};
  return renderChunk(head, [{index: 0, ...content, finish_reason: reason}]);
}

/** Renders the data of the event with the token counts. */
export function renderUsage(head: AnswerHead, usage: Usage): string {
  return renderChunk(head, [], {usage});
}

function renderChunk(
  head: AnswerHead,
  choices: unknown[],
  extra: Record<string, unknown> = {},
): string {
  const object = head.isChat ? 'chat.completion.chunk' : 'text_completion';
  return JSON.stringify({...renderHead(head, object), choices, ...extra});
}

function renderHead(head: AnswerHead, object: string): Record<string, unknown> {
  const prefix = head.isChat ? 'chatcmpl' : 'cmpl';
  return {
    id: `${prefix}-${head.requestId}`,
    object,
    created: 0,
    model: head.model,
  };
}
