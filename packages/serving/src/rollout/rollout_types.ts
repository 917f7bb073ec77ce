/** Orders, bounds and reports of rollouts, free of the names of any platform. */
import type {RolloutPhase} from '@savoryspur/schema';
import type {RowWrite} from '../store/row_store.js';

/** Operator's order to move the traffic of a service to another software version. */
export interface RolloutOrder {
  service: string;
  /** Software version that gets the traffic; empty when the order names none. */
  target: string;
  /** Time from the order to the deadline, milliseconds. */
  durationMs: number;
  /** Version of the order's row; a later order has a higher one. */
  orderVersion: number;
  /** Field, found and expected value that make the order invalid; undefined for a valid order. */
  rejection?: string;
}

/** Orders of the operator that this daemon knows. */
export interface RolloutOrders {
  /** Version of the store up to which all orders are known; undefined before the first read. */
  version: number | undefined;
  orders: readonly RolloutOrder[];
}

/** Bounds on what a bad version may do. */
export interface RolloutBounds {
  /** Fraction of the requests from the order to the deadline that a bad version may get. */
  exposureShare: number;
  /** Requests that it may get beyond this fraction. */
  exposureSlack: number;
  /** Time after the 50th bad response from which a bad version gets nothing, milliseconds. */
  rollbackMs: number;
}

/** Bounds of a deployment whose settings state none. */
export const DEFAULT_ROLLOUT_BOUNDS: RolloutBounds = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5000,
};

/** State of a rollout, as the operator reads it. */
export interface RolloutStatus {
  service: string;
  target: string;
  phase: RolloutPhase;
  reason?: string;
}

/** Encodes the row by which the operator learns the state of a rollout. */
export type EncodeRolloutStatus = (status: RolloutStatus) => RowWrite;
