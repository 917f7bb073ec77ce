/** Client of the transactional table service. */
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

/** Range of keys that a scan reads. */
export interface ScanRange {
  /** Prefix of the keys. */
  prefix: string;
  /** Key after which the scan starts; absent or empty to start at the first key. */
  after?: string;
  /** Maximum number of rows in the answer. */
  limit: number;
}

/** Service that stores versioned rows and writes several of them in one transaction. */
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
   * @param range - prefix, start and maximum number of rows
   */
  scan(range: ScanRange): ResultAsync<Row[], SavoryspurError>;
  /**
   * Writes all rows of a transaction if all its conditions hold, else none.
   *
   * @param transaction - conditions and writes
   * @returns the answer, or an error; with code AMBIGUOUS, the writes may have
   *     taken effect
   */
  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError>;
}

/** Table service over HTTP; docs/INTERFACES.md specifies the protocol. */
export class HttpTableService implements TableService {
  /**
   * @param caller - makes the HTTP calls to the table service
   * @param peer - address of the table service, named in errors
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

/**
 * Parses a JSON answer and validates it against its schema.
 *
 * @param answer - HTTP answer
 * @param validate - validator of the schema
 * @param origin - step and peer that an error names
 * @returns the document, or an error with code BROKEN_ANSWER
 */
export function parseJsonAnswer<T>(
  answer: HttpAnswer,
  validate: (value: unknown) => Result<T, FieldError>,
  origin: ErrorOrigin,
): Result<T, SavoryspurError> {
  return parseDocument(answer.body, validate, origin);
}
