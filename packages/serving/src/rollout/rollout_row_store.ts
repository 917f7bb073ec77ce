/**
 * Reads and conditionally writes the row of the rollout of one service. The store
 * doesn't tell the version of a row that it has written, and the answer of a write
 * may be lost; the daemon recognizes its own writes by their bytes.
 */
import {parseDocument, type SavoryspurError} from '@savoryspur/common';
import {type RolloutRow, validateRolloutRow} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {RowStore, RowWrite} from '../store/row_store.js';

/** Table of the rollouts; all rows are in the partition with the empty name. */
export const ROLLOUT_TABLE = 'rollouts';

/** Timeout of one write, milliseconds. */
const WRITE_TIMEOUT_MS = 800;

/** State of the row as it was read. */
export interface ReadRow {
  /** Undefined when there is no valid row. */
  row: RolloutRow | undefined;
  /** Version of the row; 0 when there is none. */
  version: number;
  /** Whether this daemon wrote the row since it last dropped its writes. */
  isOwn: boolean;
}

/** Decodes a row of the table. */
export function decodeRolloutRow(
  key: string,
  value: Buffer | undefined,
): Result<RolloutRow, SavoryspurError> {
  const origin = {step: 'rollouts.read', peer: key};
  return parseDocument(value, validateRolloutRow, origin);
}

/** Row of the rollout of one service, as one daemon reads and writes it. */
export class RolloutRowStore {
  /** Latest write that the store has confirmed, and the later ones whose outcome is unknown. */
  private ownWrites: Buffer[] = [];
  private sequence = 0;

  /**
   * @param service - key of the row
   * @param store - the store
   * @param writer - incarnation of this daemon
   */
  constructor(
    private readonly service: string,
    private readonly store: RowStore,
    private readonly writer: string,
  ) {}

  /** Forgets this daemon's writes when it is no longer the decider. */
  dropWrites(): void {
    this.ownWrites = [];
  }

  /** Reads the row. */
  async read(): Promise<Result<ReadRow, SavoryspurError>> {
    const found = await this.readRaw(ROLLOUT_TABLE, this.service);
    return found.map(({value, version}) => {
      if (value === undefined) return {row: undefined, version, isOwn: false};
      const row = decodeRolloutRow(this.service, value).unwrapOr(undefined);
      const isOwn = this.ownWrites.some((own) => own.equals(value));
      return {row, version, isOwn};
    });
  }

  /**
   * Writes the row if it still has a version.
   *
   * @param planned - the row; its writer and sequence are replaced
   * @param version - version that the row must have
   * @returns the written row, undefined when the row has another version; an error
   *     when the write may or may not have taken effect
   */
  async write(
    planned: RolloutRow,
    version: number,
  ): Promise<Result<RolloutRow | undefined, SavoryspurError>> {
    this.sequence += 1;
    const {writer, sequence} = this;
    const row: RolloutRow = {...planned, writer, sequence};
    const value = Buffer.from(JSON.stringify(row));
    this.ownWrites.push(value);
    const name = {table: ROLLOUT_TABLE, part: '', key: this.service};
    const result = await this.store.transact(
      {conditions: [{...name, version}], writes: [{...name, value}]},
      WRITE_TIMEOUT_MS,
    );
    if (result.isErr()) return err(result.error);
    if (!result.value.isCommitted) return ok(undefined);
    this.ownWrites = [value];
    return ok(row);
  }

  /**
   * Writes another row if the row of the rollout still has a version. A daemon that
   * was replaced as the decider can't overwrite a newer state by this.
   *
   * @param write - the other row, of the same partition
   * @param version - version that the row of the rollout must have
   * @returns whether the store has the row
   */
  async writeGuarded(write: RowWrite, version: number): Promise<boolean> {
    const known = await this.readRaw(write.table, write.key);
    if (known.isErr()) return false;
    const isCurrent = known.value.value?.equals(write.value) === true;
    const condition = {
      table: ROLLOUT_TABLE,
      part: '',
      key: this.service,
      version,
    };
    if (isCurrent) return true;
    const result = await this.store.transact(
      {conditions: [condition], writes: [write]},
      WRITE_TIMEOUT_MS,
    );
    return result.isOk() && result.value.isCommitted;
  }

  private async readRaw(
    table: string,
    key: string,
  ): Promise<
    Result<{value: Buffer | undefined; version: number}, SavoryspurError>
  > {
    const end = `${key}\u0000`;
    const page = await this.store.read({table, part: '', start: key, end});
    return page.map(({rows}) => {
      const row = rows.find((candidate) => candidate.key === key);
      return {value: row?.value, version: row?.version ?? 0};
    });
  }
}
