/** Errors of the batch API. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';

/** An invalid line of an input file. */
export interface LineFault {
  /** Line number, from 1. */
  line: number;
  message: string;
}

/** Refusal of an input file because of invalid lines. */
export class InvalidFileError extends SavoryspurError {
  /**
   * @param faults - the first invalid lines
   * @param faultCount - number of all invalid lines
   */
  constructor(
    readonly faults: readonly LineFault[],
    readonly faultCount: number,
  ) {
    const shown = faults.map((fault) => `line ${fault.line}: ${fault.message}`);
    super(
      ErrorCode.INVALID_INPUT,
      {step: 'batch.create_file', peer: 'caller'},
      `${faultCount} invalid lines; ${shown.join('; ')}`,
    );
    this.name = 'InvalidFileError';
  }
}

/**
 * Creates an error for a file or job that the workspace does not have.
 *
 * @param step - step of the error origin
 * @param what - kind and id, such as `file file-123`
 */
export function createNotFound(step: string, what: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.NOT_FOUND,
    {step, peer: 'caller'},
    `no ${what} in this workspace`,
  );
}

/** Creates an error for an invalid request. */
export function createInvalid(step: string, message: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.INVALID_INPUT,
    {step, peer: 'caller'},
    message,
  );
}

/** Creates an error for a request that conflicts with stored data. */
export function createConflict(step: string, message: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CONFLICT,
    {step, peer: 'caller'},
    message,
  );
}
