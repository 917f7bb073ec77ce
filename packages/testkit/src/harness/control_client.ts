/** Calls the test control of a stand-in. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {request as sendRequest} from 'undici';

/** Bound on one control call, milliseconds. */
const CONTROL_TIMEOUT_MS = 10_000;

/** Tries of a read whose connection is reset. */
const READ_TRIES = 3;

/** Control port of one stand-in; each call takes a new connection. */
export class ControlClient {
  /** @param baseUrl - base URL of the control port */
  constructor(private readonly baseUrl: string) {}

  /**
   * Gets a JSON document. A stand-in that crashes resets each connection that has
   * not shown yet that it is one of test control, so reads are sent again.
   *
   * @param path - path such as `/control/stats`
   */
  async get<T>(path: string): Promise<T> {
    for (let tries = 1; ; tries += 1) {
      try {
        return await this.send<T>('GET', path, undefined);
      } catch (thrown) {
        const {code} = thrown as NodeJS.ErrnoException;
        if (code !== 'ECONNRESET' || tries >= READ_TRIES) throw thrown;
      }
    }
  }

  /**
   * Posts a JSON document.
   *
   * @param path - path such as `/control/faults`
   * @param value - the document
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
      `${method} ${path} gave ${answer.statusCode}: ${text}`,
    );
  }
}
