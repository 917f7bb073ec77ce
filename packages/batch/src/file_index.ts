/** Loads and caches the indexes of input files. */
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

/** Maximum number of file indexes in the cache. */
const MAX_CACHED_INDEXES = 16;

/** Cache of file indexes; removes the one added first when it is full. */
export class FileIndexCache {
  private readonly indexes = new Map<string, FileIndex>();

  /**
   * @param objects - object store
   */
  constructor(private readonly objects: ObjectStore) {}

  /**
   * Gets an index from the cache or loads it from the object store.
   *
   * @param name - name of the index object
   */
  async load(name: string): Promise<Result<FileIndex, SavoryspurError>> {
    const cached = this.indexes.get(name);
    if (cached) return ok(cached);
    const loaded = await loadFileIndex(this.objects, name);
    if (loaded.isErr()) return err(loaded.error);
    const oldest = this.indexes.keys().next().value;
    if (this.indexes.size >= MAX_CACHED_INDEXES && oldest !== undefined) {
      this.indexes.delete(oldest);
    }
    this.indexes.set(name, loaded.value);
    return ok(loaded.value);
  }
}

/**
 * Reads and validates the index object of a file.
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
