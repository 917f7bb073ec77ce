/** Calls of engines that concern orders; the wire is in docs/INTERFACES.md. */
import type {SavoryspurError} from '@savoryspur/common';
import {
  parseJsonAnswer,
  HttpCaller,
  type HttpCallOptions,
} from '@savoryspur/storage';
import {
  type EngineOrder,
  type EngineState,
  type OrderAnswer,
  validateEngineState,
  validateOrderAnswer,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

/** Orders engines and reads back what is in force. */
export interface EngineOrderClient {
  /**
   * Sends one order.
   *
   * @param serverUrl - base URL of the engine
   * @param fencing - fencing number of the order
   * @param order - the order
   */
  apply(
    serverUrl: string,
    fencing: number,
    order: EngineOrder,
  ): ResultAsync<OrderAnswer, SavoryspurError>;
  /** Reads the state in force. */
  read(serverUrl: string): ResultAsync<EngineState, SavoryspurError>;
}

/** Orders engines over HTTP, with one bounded caller for each engine. */
export class HttpEngineOrderClient implements EngineOrderClient {
  private readonly callers = new Map<string, HttpCaller>();

  /** @param options - bounds on each call */
  constructor(private readonly options: HttpCallOptions) {}

  /** {@inheritDoc EngineOrderClient.apply} */
  apply(
    serverUrl: string,
    fencing: number,
    order: EngineOrder,
  ): ResultAsync<OrderAnswer, SavoryspurError> {
    const origin = {step: 'order.apply', peer: serverUrl};
    return this.getCaller(serverUrl)
      .request({
        step: origin.step,
        method: 'POST',
        path: '/v1/orders',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({fencing, order}),
        isWrite: true,
      })
      .andThen((answer) =>
        parseJsonAnswer(answer, validateOrderAnswer, origin),
      );
  }

  /** {@inheritDoc EngineOrderClient.read} */
  read(serverUrl: string): ResultAsync<EngineState, SavoryspurError> {
    const origin = {step: 'order.read', peer: serverUrl};
    return this.getCaller(serverUrl)
      .request({
        step: origin.step,
        method: 'GET',
        path: '/v1/orders',
        isWrite: false,
      })
      .andThen((answer) =>
        parseJsonAnswer(answer, validateEngineState, origin),
      );
  }

  /** Closes the connections to engines that are not ordered any more. */
  async close(): Promise<void> {
    const callers = [...this.callers.values()];
    this.callers.clear();
    await Promise.all(callers.map((caller) => caller.close()));
  }

  private getCaller(serverUrl: string): HttpCaller {
    const known = this.callers.get(serverUrl);
    if (known) return known;
    const caller = new HttpCaller(serverUrl, this.options);
    this.callers.set(serverUrl, caller);
    return caller;
  }
}
