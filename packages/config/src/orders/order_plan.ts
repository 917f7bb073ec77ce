/** Computes desired states and the orders that an engine needs to reach them. */
import {
  type DesiredState,
  type EngineModel,
  type EngineOrder,
  type EngineState,
  OrderKind,
} from '@savoryspur/schema';

/**
 * Adds an order to a desired state.
 *
 * @param desired - models and role before the order
 * @param order - order with all fields that its kind requires
 */
export function applyOrder(
  desired: Pick<DesiredState, 'models' | 'absentModels' | 'role'>,
  order: EngineOrder,
): Pick<DesiredState, 'models' | 'absentModels' | 'role'> {
  const name = order.model ?? '';
  const models = desired.models.filter((model) => model.name !== name);
  const absentModels = desired.absentModels.filter((other) => other !== name);
  switch (order.kind) {
    case OrderKind.LOAD:
      return {...desired, models: [...models, buildModel(order)], absentModels};
    case OrderKind.UNLOAD:
      return {...desired, models, absentModels: [...absentModels, name]};
    case OrderKind.ROLE:
      return {...desired, role: order.role};
  }
}

/**
 * Computes the next order for an engine. Models that no operator ever ordered
 * are not changed. An engine that checks fencing tokens and already has the
 * desired state, but an older token, is sent its current role again, so that it
 * refuses older orders from then on.
 *
 * @param desired - newest desired state
 * @param fencing - fencing token of the desired state
 * @param state - actual state
 * @param checksFencing - whether the engine checks fencing tokens
 * @returns undefined when no order is needed
 */
export function computeNextOrder(
  desired: DesiredState,
  fencing: number,
  state: EngineState,
  checksFencing: boolean,
): EngineOrder | undefined {
  const difference = computeDifference(desired, state);
  if (difference) return difference;
  if (!checksFencing || state.fencing >= fencing) return undefined;
  const role = desired.role ?? state.role;
  return role === '' ? undefined : {kind: OrderKind.ROLE, role};
}

/**
 * Computes the next order that brings the state of an engine closer to its
 * desired state; undefined when there is no difference.
 */
export function computeDifference(
  desired: DesiredState,
  state: EngineState,
): EngineOrder | undefined {
  for (const {name} of state.models) {
    if (!desired.absentModels.includes(name)) continue;
    return {kind: OrderKind.UNLOAD, model: name};
  }
  for (const model of desired.models) {
    if (state.models.some((found) => isSameModel(found, model))) continue;
    const {name, version, adapter} = model;
    const order = {kind: OrderKind.LOAD, model: name, version};
    return adapter === undefined ? order : {...order, adapter};
  }
  if (desired.role !== undefined && desired.role !== state.role) {
    return {kind: OrderKind.ROLE, role: desired.role};
  }
  return undefined;
}

function buildModel(order: EngineOrder): EngineModel {
  const {model: name = '', version = '', adapter} = order;
  return adapter === undefined ? {name, version} : {name, version, adapter};
}

function isSameModel(a: EngineModel, b: EngineModel): boolean {
  return (
    a.name === b.name && a.version === b.version && a.adapter === b.adapter
  );
}
