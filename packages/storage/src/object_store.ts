/** The platform's object store. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {validateObjectListAnswer} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {HttpAnswer, HttpCaller} from './http_caller.js';
import {parseJsonAnswer} from './table_service.js';

/** Part of an object, in bytes. */
export interface ByteRange {
  /** First byte. */
  start: number;
  /** Byte after the last. */
  end: number;
}

/** Immutable named objects. */
export interface ObjectStore {
  /**
   * Stores an object under a name that was never used. Repeating it with the
   * same bytes is harmless.
   *
   * @param name - unique name
   * @param body - bytes
   */
  put(name: string, body: Buffer): ResultAsync<void, SavoryspurError>;
  /**
   * Reads an object or a part of it.
   *
   * @param name - name of the object
   * @param range - part to read; the whole object when absent
   * @returns the bytes; an error with code NOT_FOUND when there is none
   */
  get(name: string, range?: ByteRange): ResultAsync<Buffer, SavoryspurError>;
  /** Deletes an object; none of that name is no error. */
  delete(name: string): ResultAsync<void, SavoryspurError>;
  /** Lists the names that start with a prefix, in order. */
  list(prefix: string): ResultAsync<string[], SavoryspurError>;
}

/** Not found. */
const STATUS_NOT_FOUND = 404;

/** Object store met over HTTP; the wire is in docs/INTERFACES.md. */
export class HttpObjectStore implements ObjectStore {
  /**
   * @param caller - bounded caller of the store
   * @param peer - address that errors name
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
        `no object ${name}`,
      ),
    );
  }
}

function formatPath(name: string): string {
  return `/v1/objects/${encodeURIComponent(name)}`;
}
