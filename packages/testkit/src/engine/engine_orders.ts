/** Operator orders to an engine: load and unload models, set the role. */
import type {Clock} from '@savoryspur/common';
import {
  type StandInOrder,
  StandInOrderKind,
  type StandInModel,
  type StandInOrderRequest,
} from '@savoryspur/schema';
import {request as sendRequest} from 'undici';

/** Delay before a failed read of weights is retried, milliseconds. */
const WEIGHT_RETRY_DELAY_MS = 200;

/** How an engine handles orders, and its state before the first one. */
export interface EngineOrderOptions {
  /** Whether orders with an outdated fencing token are refused. */
  checksFencing: boolean;
  /** Base URL of the weight store; empty to load models without it. */
  weightUrl: string;
  /** Models that are loaded at the start. */
  models: StandInModel[];
  /** Role at the start. */
  role: string;
}

/** Applies orders and holds the state that results from them. */
export class EngineOrders {
  /** Fencing token of the last order that was applied. */
  fencing = 0;
  /** Models that are loaded. */
  models: StandInModel[];
  /** Current role. */
  role: string;
  /**
   * Number of the last order that loads or unloads a model. An earlier load that
   * still fetches weights is abandoned.
   */
  private lastLoadSequence = 0;

  /**
   * @param options - fencing check, weight store and state at the start
   * @param clock - clock of the delay between reads of weights
   * @param onChange - called after models or role have changed
   */
  constructor(
    private readonly options: EngineOrderOptions,
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {
    this.models = options.models;
    this.role = options.role;
  }

  /**
   * Applies an order.
   *
   * @returns false when the order is refused because its fencing token is lower
   *     than that of the last applied order
   */
  apply(request: StandInOrderRequest): boolean {
    const isOutdated = request.fencing < this.fencing;
    if (isOutdated && this.options.checksFencing) return false;
    this.fencing = request.fencing;
    const handlers = {
      [StandInOrderKind.LOAD]: this.loadModel,
      [StandInOrderKind.UNLOAD]: this.dropModel,
      [StandInOrderKind.ROLE]: this.setRole,
    };
    handlers[request.order.kind].call(this, request.order);
    return true;
  }

  private loadModel(order: StandInOrder): void {
    const {model = '', version = '', adapter} = order;
    const loaded = {name: model, version, ...(adapter ? {adapter} : {})};
    this.lastLoadSequence += 1;
    if (this.options.weightUrl === '') {
      this.replaceModel(loaded);
      return;
    }
    void this.fetchWeights(loaded, this.lastLoadSequence);
  }

  private dropModel(order: StandInOrder): void {
    this.lastLoadSequence += 1;
    this.models = this.models.filter((m) => m.name !== order.model);
    this.onChange();
  }

  private setRole(order: StandInOrder): void {
    if (order.role === undefined || order.role === this.role) return;
    this.role = order.role;
    this.onChange();
  }

  private async fetchWeights(
    model: StandInModel,
    loadSequence: number,
  ): Promise<void> {
    const name = encodeURIComponent(model.name);
    const version = encodeURIComponent(model.version);
    const url = `${this.options.weightUrl}/v1/weights/${name}/${version}`;
    while (loadSequence === this.lastLoadSequence) {
      if (await tryFetch(url)) break;
      await this.clock.sleep(WEIGHT_RETRY_DELAY_MS);
    }
    if (loadSequence === this.lastLoadSequence) this.replaceModel(model);
  }

  private replaceModel(model: StandInModel): void {
    const others = this.models.filter((m) => m.name !== model.name);
    this.models = [...others, model];
    this.onChange();
  }
}

async function tryFetch(url: string): Promise<boolean> {
  try {
    const answer = await sendRequest(url);
    await answer.body.arrayBuffer();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
