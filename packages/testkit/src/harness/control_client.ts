/** Client of the control API of a stand-in. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {request as sendRequest} from 'undici';

/** Timeout of one control request, milliseconds. */
const CONTROL_TIMEOUT_MS = 10_000;

/** Attempts at a read whose connection is reset. */
const MAX_READ_ATTEMPTS = 3;

/** Client of one control port, which opens a new connection for each request. */
export class ControlClient {
  /** @param baseUrl - base URL of the control port */
  constructor(private readonly baseUrl: string) {}

  /**
   * Gets a JSON document. A stand-in that simulates a crash resets every
   * connection on which it has not yet seen a control request, so a read whose
   * connection is reset is sent again.
   *
   * @param path - path such as `/control/stats`
   */
  async get<T>(path: string): Promise<T> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.send<T>('GET', path, undefined);
      } catch (thrown) {
        const {code} = thrown as NodeJS.ErrnoException;
        if (code !== 'ECONNRESET' || attempt >= MAX_READ_ATTEMPTS) throw thrown;
      }
    }
  }

  /**
   * Posts a JSON document. The request changes the stand-in, so it is never sent
   * again.
   *
   * @param path - path such as `/control/faults`
   * @param value - document to send
   */
  async post<T>(path: string, value: unknown = {}): Promise<T> {
    return this.send<T>('POST', path, JSON.stringify(value));
  }

  private async send<T>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<T> {
    const answer = await sendRequest(`${this.baseUrl}${path}`, {
      method,
      body,
      reset: true,
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
    });
    const text = await answer.body.text();
    if (answer.statusCode === 200) return JSON.parse(text) as T;
    throw new SavoryspurError(
      ErrorCode.REMOTE_ERROR,
      {step: 'testkit.control', peer: this.baseUrl},
      `${method} ${path} was answered with status ${answer.statusCode}: ${text}`,
    );
  }
}
