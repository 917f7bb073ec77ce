/** Engines in memory that apply orders, with or without fencing tokens. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type EngineModel,
  type EngineOrder,
  type EngineState,
  type OrderAnswer,
  OrderKind,
} from '@savoryspur/schema';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {EngineOrderClient} from '../src/index.js';

/** One engine, which refuses orders with an old fencing token if it checks fencing tokens. */
export class MemoryEngine {
  state: EngineState = {fencing: 0, models: [], role: 'mixed'};
  applied: EngineOrder[] = [];

  constructor(readonly checksFencing: boolean) {}

  apply(fencing: number, order: EngineOrder): OrderAnswer {
    const isOld = fencing < this.state.fencing;
    if (isOld && this.checksFencing) {
      return {applied: false, fencing: this.state.fencing};
    }
    this.applied.push(order);
    const others = this.state.models.filter((m) => m.name !== order.model);
    const {model: name = '', version = '', role = this.state.role} = order;
    const loaded: EngineModel[] =
      order.kind === OrderKind.LOAD ? [{name, version}] : [];
    this.state = {fencing, models: [...others, ...loaded], role};
    return {applied: true};
  }
}

/** Calls engines in memory; a test can delay calls or lose their answers. */
export class MemoryEngineClient implements EngineOrderClient {
  readonly engines = new Map<string, MemoryEngine>();
  /** The client awaits this function before an order reaches its engine. */
  checkLink: (url: string, order: EngineOrder) => Promise<void> = () =>
    Promise.resolve();
  isAnswerLost = false;

  apply(
    url: string,
    fencing: number,
    order: EngineOrder,
  ): ResultAsync<OrderAnswer, SavoryspurError> {
    const engine = this.engines.get(url);
    const origin = {step: 'order.apply', peer: url};
    if (!engine) {
      const code = ErrorCode.UNAVAILABLE;
      return errAsync(new SavoryspurError(code, origin, 'no engine'));
    }
    return ResultAsync.fromSafePromise(this.checkLink(url, order)).andThen(
      () => {
        const answer = engine.apply(fencing, order);
        if (!this.isAnswerLost) return okAsync(answer);
        const code = ErrorCode.AMBIGUOUS;
        return errAsync(new SavoryspurError(code, origin, 'lost'));
      },
    );
  }

  read(url: string): ResultAsync<EngineState, SavoryspurError> {
    const engine = this.engines.get(url);
    if (engine) return okAsync(engine.state);
    const origin = {step: 'order.read', peer: url};
    const code = ErrorCode.UNAVAILABLE;
    return errAsync(new SavoryspurError(code, origin, 'no engine'));
  }
}
