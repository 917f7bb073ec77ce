/**
 * Procedures of a daemon as a lookup table by path. A call costs one decoded
 * message, one look-up and one encoded answer, without the proxies, middlewares
 * and observables of a tRPC router, whose cost per call exceeds that of the
 * procedures themselves once hundreds of daemons call one owner.
 */
import {toSavoryspurError} from '@savoryspur/common';
import {
  type FieldError,
  formatFieldError,
  type PeerInfo,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {WireAnswer} from './peer_connection.js';

/** Code of an answer to a call that the called daemon can't decode. */
const CODE_BAD_REQUEST = 'BAD_REQUEST';

/** Code of an answer to a call of a procedure that the called daemon doesn't have. */
const CODE_NOT_FOUND = 'NOT_FOUND';

/** Code of an answer to a call whose procedure failed unexpectedly. */
const CODE_INTERNAL_ERROR = 'INTERNAL_SERVER_ERROR';

/** Error number of every failed call; the text code says what failed. */
const ERROR_NUMBER = -32_603;

/** Answers one call; the input is not validated yet. */
export type Procedure = (
  input: unknown,
  caller: PeerInfo,
) => Promise<Result<unknown, FieldError>> | Result<unknown, FieldError>;

/** Procedures by path. */
export type ProcedureTable = ReadonlyMap<string, Procedure>;

/** Decoded call of another daemon. */
interface WireCall {
  id: number;
  params: {path: string; input?: unknown};
}

/**
 * Creates a procedure that validates its input.
 *
 * @param validate - validator of the input
 * @param run - answers a call with valid input
 */
export function createProcedure<TInput, TAnswer>(
  validate: (value: unknown) => Result<TInput, FieldError>,
  run: (input: TInput, caller: PeerInfo) => Promise<TAnswer> | TAnswer,
): Procedure {
  return async (input, caller) => {
    const valid = validate(input);
    if (valid.isErr()) return valid;
    const answer = await run(valid.value, caller);
    return valid.map(() => answer);
  };
}

/**
 * Answers one message of another daemon.
 *
 * @param table - procedures of this daemon
 * @param text - message as it was received
 * @param caller - the daemon that sent it
 * @returns the encoded answer; undefined when the message is no call, so that no
 *     answer can refer to it
 */
export async function answerMessage(
  table: ProcedureTable,
  text: string,
  caller: PeerInfo,
): Promise<string | undefined> {
  const call = parseCall(text);
  if (!call) return undefined;
  const {id, params} = call;
  return JSON.stringify(await runProcedure(table, id, params, caller));
}

function parseCall(text: string): WireCall | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // The connection is closed then; the daemon at its other end logs that its
    // calls have failed.
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const {id, params} = value as Partial<WireCall>;
  if (typeof id !== 'number' || typeof params !== 'object') return undefined;
  // The type declares no null, but the message may contain one.
  const path = (params as WireCall['params'] | null)?.path;
  return typeof path === 'string' ? {id, params} : undefined;
}

async function runProcedure(
  table: ProcedureTable,
  id: number,
  {path, input}: WireCall['params'],
  caller: PeerInfo,
): Promise<WireAnswer> {
  const procedure = table.get(path);
  if (!procedure) {
    return createFailure(id, CODE_NOT_FOUND, `no procedure ${path}`);
  }
  try {
    const answer = await procedure(input, caller);
    if (answer.isOk()) return {id, result: {type: 'data', data: answer.value}};
    return createFailure(id, CODE_BAD_REQUEST, formatFieldError(answer.error));
  } catch (thrown) {
    const {message} = toSavoryspurError(thrown, {
      step: path,
      peer: caller.host,
    });
    return createFailure(id, CODE_INTERNAL_ERROR, message);
  }
}

function createFailure(id: number, code: string, message: string): WireAnswer {
  return {id, error: {message, code: ERROR_NUMBER, data: {code}}};
}
