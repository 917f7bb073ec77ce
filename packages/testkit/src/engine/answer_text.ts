/**
 * Prompts and the answers that the engine computes from them. Answers depend on
 * the prompt alone, so that a checker can tell whether an answer belongs to its
 * request.
 */
import {createHash} from 'node:crypto';

/** Tokens of an answer when the request sets no limit. */
export const DEFAULT_ANSWER_TOKENS = 16;

/** Leading characters of a prompt that its prefix hash covers. */
export const PREFIX_CHARACTERS = 256;

/** Hexadecimal digits of a prefix hash. */
const PREFIX_HASH_DIGITS = 16;

/** Hexadecimal digits that make up one token of an answer. */
const TOKEN_DIGITS = 4;

/** Fields of a chat message that make up the prompt. */
interface ChatMessage {
  role?: unknown;
  content?: unknown;
}

/**
 * Builds the prompt text of a request body.
 *
 * @param body - body of a chat or text completion request
 * @returns messages as `role: content` lines, or the field `prompt`
 */
export function buildPrompt(body: Record<string, unknown>): string {
  if (!Array.isArray(body.messages)) return formatContent(body.prompt);
  const lines = (body.messages as ChatMessage[]).map(
    (message) => `${String(message.role)}: ${formatContent(message.content)}`,
  );
  return lines.join('\n');
}

/**
 * Computes the tokens of the complete answer to a prompt.
 *
 * @param prompt - prompt text as {@link buildPrompt} returns it
 * @param maxTokens - number of tokens
 */
export function computeAnswerTokens(
  prompt: string,
  maxTokens = DEFAULT_ANSWER_TOKENS,
): string[] {
  const tokens: string[] = [];
  let digits = '';
  for (let i = 0; i < maxTokens; i += 1) {
    if (digits.length < TOKEN_DIGITS) digits = hashHex(`${i}\n${prompt}`);
    tokens.push(`${i === 0 ? '' : ' '}${digits.slice(0, TOKEN_DIGITS)}`);
    digits = digits.slice(TOKEN_DIGITS);
  }
  return tokens;
}

/** Computes the text of the complete answer to a prompt. */
export function computeAnswer(prompt: string, maxTokens?: number): string {
  return computeAnswerTokens(prompt, maxTokens).join('');
}

/** Computes the hash under which the engine caches the prefix of a prompt. */
export function computePrefixHash(prompt: string): string {
  const prefix = prompt.slice(0, PREFIX_CHARACTERS);
  return hashHex(prefix).slice(0, PREFIX_HASH_DIGITS);
}

function formatContent(content: unknown): string {
  if (typeof content === 'string') return content;
  return JSON.stringify(content ?? '');
}

function hashHex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
