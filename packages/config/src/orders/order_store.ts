/** Stores the desired states of engines in the table. */
import {randomUUID} from 'node:crypto';
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type ReadBackContext,
  TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {
  type DesiredState,
  type EngineOrder,
  OrderKind,
  validateDesiredState,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {parseRow} from '../environment_rows.js';
import {applyOrder} from './order_plan.js';

/** Maximum number of attempts to submit an order; an attempt fails when another order is written first. */
const MAX_SUBMIT_ATTEMPTS = 8;

/** Maximum number of rows in one read of the table. */
const MAX_KEYS_PER_READ = 100;

/** A desired state with its fencing token. */
export interface DesiredRow {
  /** Fencing token: the row version in the table, which grows with each order. */
  fencing: number;
  desired: DesiredState;
}

/** An order of an operator to one engine. */
export interface OrderOptions {
  environment: string;
  server: string;
  order: EngineOrder;
  operator: string;
  /** Fencing token that the operator read; absent for the newest token. */
  baseFencing?: number;
}

/** Required fields of each kind of order. */
const REQUIRED_FIELDS: Record<OrderKind, ReadonlyArray<keyof EngineOrder>> = {
  [OrderKind.LOAD]: ['model', 'version'],
  [OrderKind.UNLOAD]: ['model'],
  [OrderKind.ROLE]: ['role'],
};

/** Reads and changes desired states. */
export class OrderStore {
  /** @param context - table, clock and log */
  constructor(private readonly context: ReadBackContext) {}

  /**
   * Adds an order to the desired state of an engine.
   *
   * @returns the new desired state; an error with code CONFLICT when the fencing
   *     token of the operator is not the newest, or INVALID_INPUT when a field
   *     is missing
   */
  async submit(
    options: OrderOptions,
  ): Promise<Result<DesiredRow, SavoryspurError>> {
    const missing = findMissingField(options.order);
    if (missing) return err(createMissingFieldError(options.order, missing));
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
      const read = await this.read(options.environment, [options.server]);
      if (read.isErr()) return err(read.error);
      const current = read.value.get(options.server);
      const fencing = current?.fencing ?? 0;
      const {baseFencing = fencing} = options;
      if (baseFencing !== fencing) {
        return err(createConflictError(options.server, baseFencing, fencing));
      }
      const written = await this.write(options, current);
      if (written.isErr()) return err(written.error);
      if (written.value) return ok(written.value);
    }
    return err(createConflictError(options.server, 0, 0));
  }

  /**
   * Reads the desired states of engines, by server id. Engines without any order
   * are omitted.
   */
  async read(
    environment: string,
    servers: readonly string[],
  ): Promise<Result<Map<string, DesiredRow>, SavoryspurError>> {
    const found = new Map<string, DesiredRow>();
    for (let start = 0; start < servers.length; start += MAX_KEYS_PER_READ) {
      const batch = servers.slice(start, start + MAX_KEYS_PER_READ);
      const keys = batch.map((server) => formatOrderKey(environment, server));
      const rows = await this.context.table.read(keys);
      if (rows.isErr()) return err(rows.error);
      for (const row of rows.value) {
        const desired = parseRow(row, validateDesiredState);
        if (desired.isErr()) return err(desired.error);
        const {server} = desired.value;
        found.set(server, {fencing: row.version, desired: desired.value});
      }
    }
    return ok(found);
  }

  /**
   * Writes the row of a desired state by compare-and-set.
   *
   * @returns undefined when another order was written first
   */
  private async write(
    options: OrderOptions,
    current: DesiredRow | undefined,
  ): Promise<Result<DesiredRow | undefined, SavoryspurError>> {
    const {environment, server, order, operator} = options;
    const before = current?.desired ?? {models: [], absentModels: []};
    const desired: DesiredState = {
      ...applyOrder(before, order),
      server,
      order,
      operator,
      changedAt: this.context.clock.nowWall().toISOString(),
      nonce: randomUUID(),
    };
    const key = formatOrderKey(environment, server);
    const outcome = await transactWithReadBack(this.context, {
      conditions: [{key, version: current?.fencing ?? 0}],
      writes: [{key, value: JSON.parse(JSON.stringify(desired))}],
    });
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value === TransactionOutcome.CONFLICT) return ok(undefined);
    const read = await this.read(environment, [server]);
    return read.map((rows) => rows.get(server));
  }
}

/** Formats the key of the desired state of an engine. */
export function formatOrderKey(environment: string, server: string): string {
  return `order/${environment}/${server}`;
}

function findMissingField(order: EngineOrder): string | undefined {
  return REQUIRED_FIELDS[order.kind].find((name) => order[name] === undefined);
}

function createMissingFieldError(
  order: EngineOrder,
  field: string,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.INVALID_INPUT,
    {step: 'order.submit', peer: 'operator'},
    `order.${field}: found nothing, expected a value for an order to ` +
      order.kind,
  );
}

function createConflictError(
  server: string,
  base: number,
  current: number,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CONFLICT,
    {step: 'order.submit', peer: server},
    `the order is based on fencing token ${base}, but ${current} is the ` +
      'newest; read it and try again',
  );
}
