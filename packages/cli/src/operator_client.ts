/** Client of the operator API of a daemon. */
import {err, ok, Result, ResultAsync} from 'neverthrow';
import {errors, request as sendRequest} from 'undici';
import {type CliError, createFieldError} from './cli_error.js';
import {chooseExitCode, ExitCode} from './exit_code.js';

/** Timeout of the answer's headers and of its body, milliseconds. */
const ANSWER_TIMEOUT_MS = 60_000;

/** Lowest status code of a refusal. */
const MIN_REFUSAL_STATUS = 400;

/** Codes of connection failures, after which no request was sent. */
const CONNECT_FAILURE_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** JSON body of a refusal. */
interface RefusalBody {
  error?: {code?: string; message?: string};
}

/** Calls one daemon with the operator's token. */
export class OperatorClient {
  /**
   * @param baseUrl - URL of a daemon's port for callers
   * @param token - the operator's token
   */
  constructor(
    private readonly baseUrl: string,
    private readonly token: string,
  ) {}

  /** Sends a GET request, which changes nothing. */
  get<T>(path: string): ResultAsync<T, CliError> {
    return this.send<T>('GET', path, undefined);
  }

  /**
   * Sends a POST request, which may change something. The client never retries
   * it, as the change may have taken effect although its answer was lost.
   */
  post<T>(path: string, body: unknown): ResultAsync<T, CliError> {
    return this.send<T>('POST', path, body);
  }

  private send<T>(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): ResultAsync<T, CliError> {
    return ResultAsync.fromPromise(this.request(method, path, body), (thrown) =>
      this.convertFailure(method, thrown),
    ).andThen((answer) => convertAnswer<T>(answer.status, answer.text));
  }

  private async request(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<{status: number; text: string}> {
    const answer = await sendRequest(new URL(path, this.baseUrl), {
      method,
      headers: {
        authorization: `Bearer ${this.token}`,
        ...(body !== undefined && {'content-type': 'application/json'}),
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    return {status: answer.statusCode, text: await answer.body.text()};
  }

  /**
   * Converts a failed call. When a POST request may have been sent, its outcome
   * is unknown: the change may have taken effect although its answer was lost.
   */
  private convertFailure(method: 'GET' | 'POST', thrown: unknown): CliError {
    const code = getFailureCode(thrown);
    if (method === 'GET' || CONNECT_FAILURE_CODES.has(code)) {
      return createFieldError(
        ExitCode.UNREACHABLE,
        'url',
        `no answer from ${this.baseUrl} (${code})`,
        'the address of a running daemon',
      );
    }
    return {
      exitCode: ExitCode.UNKNOWN_OUTCOME,
      message:
        `The answer of ${this.baseUrl} was lost (${code}). The change may ` +
        'have taken effect: see `savoryspur history` before trying again.',
    };
  }
}

function convertAnswer<T>(status: number, text: string): Result<T, CliError> {
  const parsed = parseJson(text);
  if (status < MIN_REFUSAL_STATUS && parsed.isOk())
    return ok(parsed.value as T);
  const body = parsed.unwrapOr(undefined) as RefusalBody | undefined;
  const code = body?.error?.code ?? '';
  const message = body?.error?.message;
  if (message !== undefined) {
    return err({exitCode: chooseExitCode(code), message});
  }
  return err(
    createFieldError(
      ExitCode.REFUSED,
      'answer',
      `status ${status} without an error text`,
      'an answer of a savoryspur daemon',
    ),
  );
}

const parseJson = Result.fromThrowable(
  (text: string) => JSON.parse(text) as unknown,
);

function getFailureCode(thrown: unknown): string {
  if (thrown instanceof errors.UndiciError) return thrown.code;
  if (thrown instanceof AggregateError) return getFailureCode(thrown.errors[0]);
  if (!(thrown instanceof Error)) return String(thrown);
  const {code} = thrown as NodeJS.ErrnoException;
  return code ?? thrown.message;
}
