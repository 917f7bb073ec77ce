/** The platform's transactional table service. */
import {
  type ErrorOrigin,
  parseDocument,
  type SavoryspurError,
} from '@savoryspur/common';
import {
  type FieldError,
  type Row,
  type Transaction,
  type TransactionAnswer,
  validateReadAnswer,
  validateTransactionAnswer,
} from '@savoryspur/schema';
import type {Result, ResultAsync} from 'neverthrow';
import type {HttpAnswer, HttpCaller} from './http_caller.js';

/** Which rows a scan reads. */
export interface ScanRange {
  /** Prefix of the keys. */
  prefix: string;
  /** Key after which the scan starts; empty to start at the first. */
  after?: string;
  /** Most rows in the answer. */
  limit: number;
}

/** Transactional rows with versions. */
export interface TableService {
  /**
   * Reads rows by key; rows that do not exist are left out.
   *
   * @param keys - keys of the rows
   */
  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError>;
  /**
   * Reads rows in key order.
   *
   * @param range - prefix, start and bound
   */
  scan(range: ScanRange): ResultAsync<Row[], SavoryspurError>;
  /**
   * Writes rows together if all conditions hold.
   *
   * @param transaction - conditions and writes
   * @returns the answer, or an error; code AMBIGUOUS means that the writes may
   *     have taken effect
   */
  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError>;
}

/** Table service met over HTTP; the wire is in docs/INTERFACES.md. */
export class HttpTableService implements TableService {
  /**
   * @param caller - bounded caller of the service
   * @param peer - address that errors name
   */
  constructor(
    private readonly caller: HttpCaller,
    private readonly peer: string,
  ) {}

  /** {@inheritDoc TableService.read} */
  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError> {
    return this.caller
      .request({
        step: 'table.read',
        method: 'POST',
        path: '/v1/table/read',
        body: JSON.stringify({keys}),
        headers: {'content-type': 'application/json'},
        isWrite: false,
      })
      .andThen((answer) => this.parseRows('table.read', answer));
  }

  /** {@inheritDoc TableService.scan} */
  scan(range: ScanRange): ResultAsync<Row[], SavoryspurError> {
    return this.caller
      .request({
        step: 'table.scan',
        method: 'POST',
        path: '/v1/table/scan',
        body: JSON.stringify({after: '', ...range}),
        headers: {'content-type': 'application/json'},
        isWrite: false,
      })
      .andThen((answer) => this.parseRows('table.scan', answer));
  }

  /** {@inheritDoc TableService.transact} */
  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    return this.caller
      .request({
        step: 'table.transact',
        method: 'POST',
        path: '/v1/table/transact',
        body: JSON.stringify(transaction),
        headers: {'content-type': 'application/json'},
        isWrite: true,
      })
      .andThen((answer) =>
        parseJsonAnswer(answer, validateTransactionAnswer, {
          step: 'table.transact',
          peer: this.peer,
        }),
      );
  }

  private parseRows(
    step: string,
    answer: HttpAnswer,
  ): Result<Row[], SavoryspurError> {
    const origin = {step, peer: this.peer};
    return parseJsonAnswer(answer, validateReadAnswer, origin).map(
      (parsed) => parsed.rows,
    );
  }
}

/** Parses and checks a JSON answer. */
export function parseJsonAnswer<T>(
  answer: HttpAnswer,
  validate: (value: unknown) => Result<T, FieldError>,
  origin: ErrorOrigin,
): Result<T, SavoryspurError> {
  return parseDocument(answer.body, validate, origin);
}
