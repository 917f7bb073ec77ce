/**
 * Client for the orders interface of engines; docs/INTERFACES.md describes the
 * protocol.
 */
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

/** Sends orders to engines and reads their actual state. */
export interface EngineOrderClient {
  /**
   * Sends one order.
   *
   * @param serverUrl - base URL of the engine
   * @param fencing - fencing token of the order
   * @param order - the order
   * @returns whether the engine applied the order; an engine that checks fencing
   *     tokens refuses an order whose token is older than the newest it has seen
   */
  apply(
    serverUrl: string,
    fencing: number,
    order: EngineOrder,
  ): ResultAsync<OrderAnswer, SavoryspurError>;
  /** Reads the actual state of an engine. */
  read(serverUrl: string): ResultAsync<EngineState, SavoryspurError>;
}

/** Sends orders over HTTP, with a separate caller for each engine. */
export class HttpEngineOrderClient implements EngineOrderClient {
  private readonly callers = new Map<string, HttpCaller>();

  /** @param options - timeouts of each call */
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

  /** Closes the connections to all engines. */
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
