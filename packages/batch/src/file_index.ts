/** Loading the index of an input file. */
import {
  ErrorCode,
  SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import type {ObjectStore} from '@savoryspur/storage';
import {
  type FileIndex,
  formatFieldError,
  validateFileIndex,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';

/** Most indexes kept in memory. */
const MAX_INDEXES = 16;

/** Indexes of the input files in use. */
export class IndexCache {
  private readonly indexes = new Map<string, FileIndex>();

  /**
   * @param objects - object store
   */
  constructor(private readonly objects: ObjectStore) {}

  /** Gets an index, from memory or from the store. */
  async load(name: string): Promise<Result<FileIndex, SavoryspurError>> {
    const known = this.indexes.get(name);
    if (known) return ok(known);
    const loaded = await loadFileIndex(this.objects, name);
    if (loaded.isErr()) return err(loaded.error);
    const oldest = this.indexes.keys().next().value;
    if (this.indexes.size >= MAX_INDEXES && oldest !== undefined) {
      this.indexes.delete(oldest);
    }
    this.indexes.set(name, loaded.value);
    return ok(loaded.value);
  }
}

/**
 * Reads and checks the index object of a file.
 *
 * @param objects - object store
 * @param name - name of the index object
 */
export async function loadFileIndex(
  objects: ObjectStore,
  name: string,
): Promise<Result<FileIndex, SavoryspurError>> {
  const origin = {step: 'batch.load_index', peer: 'object store'};
  const body = await objects.get(name);
  if (body.isErr()) return err(body.error);
  let value: unknown;
  try {
    value = JSON.parse(body.value.toString('utf8'));
  } catch (thrown) {
    return err(toSavoryspurError(thrown, origin, ErrorCode.BROKEN_ANSWER));
  }
  return validateFileIndex(value).mapErr(
    (fault) =>
      new SavoryspurError(
        ErrorCode.BROKEN_ANSWER,
        origin,
        formatFieldError(fault),
      ),
  );
}
