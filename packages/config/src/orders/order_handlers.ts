/** Handlers of the operator API for orders to engines. */
import {
  ErrorCode,
  type EnvironmentSource,
  SavoryspurError,
} from '@savoryspur/common';
import {
  type OrderRequest,
  PoolKind,
  type Server,
  validateOrderRequest,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {
  answerError,
  answerResult,
  createBodyHandler,
  type OperatorAnswer,
  type OperatorHandler,
} from '../operator_http.js';
import type {EngineOrderClient} from './engine_order_client.js';
import {computeDifference} from './order_plan.js';
import type {OrderStore} from './order_store.js';

/** Path of the orders to one engine. */
const ORDER_PATH = '/operator/v1/servers/:server/order';

/** Dependencies of the handlers. */
export interface OrderHandlerContext {
  /** Environment that this host serves. */
  environment: string;
  source: EnvironmentSource;
  store: OrderStore;
  client: EngineOrderClient;
}

/** Creates the handlers for orders to the engines of this environment. */
export function createOrderHandlers(
  context: OrderHandlerContext,
): OperatorHandler[] {
  return [
    {
      method: 'GET',
      path: ORDER_PATH,
      handle: ({params}) => handleGetOrder(context, params.server ?? ''),
    },
    {
      method: 'POST',
      path: ORDER_PATH,
      handle: createBodyHandler(validateOrderRequest, (body, {params}) =>
        handleSubmitOrder(context, params.server ?? '', body),
      ),
    },
  ];
}

/** Adds an order to the desired state of an engine. */
async function handleSubmitOrder(
  context: OrderHandlerContext,
  id: string,
  request: OrderRequest,
): Promise<OperatorAnswer> {
  const server = findEngine(context, id);
  if (server.isErr()) return answerError(server.error);
  const {environment, store} = context;
  return answerResult(
    await store.submit({environment, server: id, ...request}),
    (row) => ({server: id, fencing: row.fencing, desired: row.desired}),
  );
}

/** Answers with the desired state and the actual state of an engine. */
async function handleGetOrder(
  context: OrderHandlerContext,
  id: string,
): Promise<OperatorAnswer> {
  const server = findEngine(context, id);
  if (server.isErr()) return answerError(server.error);
  const rows = await context.store.read(context.environment, [id]);
  if (rows.isErr()) return answerError(rows.error);
  const row = rows.value.get(id);
  const state = await context.client.read(server.value.url);
  const inForce = state.isOk() ? state.value : undefined;
  const isInForce =
    inForce !== undefined &&
    (!row || computeDifference(row.desired, inForce) === undefined);
  return {
    status: 200,
    body: {
      server: id,
      fencing: row?.fencing,
      desired: row?.desired,
      inForce,
      isInForce,
      failure: state.isErr() ? state.error.message : undefined,
    },
  };
}

function findEngine(
  {source}: OrderHandlerContext,
  id: string,
): Result<Server, SavoryspurError> {
  const index = source.getCurrent();
  const server = index?.findServer(id);
  const pool = server && index?.findPool(server.pool);
  if (server && pool?.kind === PoolKind.ENGINE) return ok(server);
  return err(
    new SavoryspurError(
      ErrorCode.NOT_FOUND,
      {step: 'order.find', peer: id},
      `server: found ${JSON.stringify(id)}, expected the id of an engine of ` +
        'the environment',
    ),
  );
}
