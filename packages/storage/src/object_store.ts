/** Client of the object store. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {validateObjectListAnswer} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {HttpAnswer, HttpCaller} from './http_caller.js';
import {parseJsonAnswer} from './table_service.js';

/** Range of bytes of an object. */
export interface ByteRange {
  /** Offset of the first byte. */
  start: number;
  /** Offset after the last byte. */
  end: number;
}

/** Store of immutable named objects. */
export interface ObjectStore {
  /**
   * Stores an object under a name that was never used before. Repeating the
   * call with the same bytes changes nothing.
   *
   * @param name - unique name
   * @param body - content of the object
   */
  put(name: string, body: Buffer): ResultAsync<void, SavoryspurError>;
  /**
   * Reads an object or a range of its bytes.
   *
   * @param name - name of the object
   * @param range - bytes to read; the whole object when absent
   * @returns the bytes, or an error with code NOT_FOUND when no object has the
   *     name
   */
  get(name: string, range?: ByteRange): ResultAsync<Buffer, SavoryspurError>;
  /** Deletes an object; succeeds when no object has the name. */
  delete(name: string): ResultAsync<void, SavoryspurError>;
  /** Lists the names that start with a prefix, in order of name. */
  list(prefix: string): ResultAsync<string[], SavoryspurError>;
}

/** Status code of a read of an object that does not exist. */
const STATUS_NOT_FOUND = 404;

/** Object store over HTTP; docs/INTERFACES.md specifies the protocol. */
export class HttpObjectStore implements ObjectStore {
  /**
   * @param caller - makes the HTTP calls to the object store
   * @param peer - address of the object store, named in errors
   */
  constructor(
    private readonly caller: HttpCaller,
    private readonly peer: string,
  ) {}

  /** {@inheritDoc ObjectStore.put} */
  put(name: string, body: Buffer): ResultAsync<void, SavoryspurError> {
    return this.caller
      .request({
        step: 'object.put',
        method: 'PUT',
        path: formatPath(name),
        body,
        isWrite: true,
      })
      .map(() => undefined);
  }

  /** {@inheritDoc ObjectStore.get} */
  get(name: string, range?: ByteRange): ResultAsync<Buffer, SavoryspurError> {
    const headers: Record<string, string> = range
      ? {range: `bytes=${range.start}-${range.end - 1}`}
      : {};
    return this.caller
      .request({
        step: 'object.get',
        method: 'GET',
        path: formatPath(name),
        headers,
        isWrite: false,
      })
      .andThen((answer) => this.checkFound(name, answer));
  }

  /** {@inheritDoc ObjectStore.delete} */
  delete(name: string): ResultAsync<void, SavoryspurError> {
    return this.caller
      .request({
        step: 'object.delete',
        method: 'DELETE',
        path: formatPath(name),
        isWrite: true,
      })
      .map(() => undefined);
  }

  /** {@inheritDoc ObjectStore.list} */
  list(prefix: string): ResultAsync<string[], SavoryspurError> {
    return this.caller
      .request({
        step: 'object.list',
        method: 'GET',
        path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
        isWrite: false,
      })
      .andThen((answer) =>
        parseJsonAnswer(answer, validateObjectListAnswer, {
          step: 'object.list',
          peer: this.peer,
        }),
      )
      .map((parsed) => parsed.names);
  }

  private checkFound(name: string, answer: HttpAnswer) {
    if (answer.statusCode !== STATUS_NOT_FOUND) return ok(answer.body);
    return err(
      new SavoryspurError(
        ErrorCode.NOT_FOUND,
        {step: 'object.get', peer: this.peer},
        `no object is named ${name}`,
      ),
    );
  }
}

function formatPath(name: string): string {
  return `/v1/objects/${encodeURIComponent(name)}`;
}
