/** Reads environments from storage. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {ObjectStore, TableService} from '@savoryspur/storage';
import {
  type EnvironmentChange,
  type EnvironmentDelta,
  type EnvironmentHead,
  type EnvironmentSnapshot,
  validateEnvironmentDelta,
  validateEnvironmentSnapshot,
  type FieldError,
  formatFieldError,
} from '@savoryspur/schema';
import {err, ok, okAsync, type Result, ResultAsync} from 'neverthrow';
import {
  formatChangeKey,
  formatChangePrefix,
  formatHeadKey,
  type HeadRow,
  parseChangeRow,
  parseHeadRow,
} from './environment_rows.js';
import {
  applyChanges,
  convertSnapshot,
  createEmptyState,
  type EnvironmentState,
} from './environment_state.js';

/** Maximum number of change rows in one scan. */
const CHANGES_PER_SCAN = 100;

/** A state that was read from storage, with its head row. */
export interface LoadedState {
  /** Row version of the head row in the table; 0 when there is none. */
  rowVersion: number;
  /** Head row of the environment; undefined when there is none. */
  head?: EnvironmentHead;
  state: EnvironmentState;
  /** Changes that were read to reach the state, in order. */
  changes: EnvironmentChange[];
}

/**
 * Reads head rows, changes and snapshots. The head row of an environment names
 * the newest version and the newest snapshot; a state is loaded by applying the
 * changes after a snapshot or after a known state.
 */
export class EnvironmentLoader {
  /**
   * @param table - stores head rows and changes
   * @param objects - stores snapshots and large deltas
   */
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
  ) {}

  /** Reads the head row of an environment; undefined when there is none. */
  readHead(
    environment: string,
  ): ResultAsync<HeadRow | undefined, SavoryspurError> {
    return this.table
      .read([formatHeadKey(environment)])
      .andThen((rows) => parseHeadRow(rows[0]));
  }

  /**
   * Reads the newest state. Changes that a known state already contains are not
   * read again.
   *
   * @param environment - name of the environment
   * @param known - state of the environment that was loaded before
   */
  load(
    environment: string,
    known: EnvironmentState = createEmptyState(),
  ): ResultAsync<LoadedState, SavoryspurError> {
    return this.readHead(environment).andThen((row) =>
      row
        ? this.loadFromHead(environment, row, known)
        : okAsync(createEmptyLoadedState()),
    );
  }

  /**
   * Advances a state to the version in a head row.
   *
   * @param environment - name of the environment
   * @param head - head row of the environment
   * @param known - state of the environment that was loaded before
   * @returns the new state and the changes that were read; an error with code
   *     BROKEN_ANSWER when the stored data is invalid
   */
  advance(
    environment: string,
    head: EnvironmentHead,
    known: EnvironmentState,
  ): ResultAsync<
    {state: EnvironmentState; changes: EnvironmentChange[]},
    SavoryspurError
  > {
    return new ResultAsync(this.advanceState(environment, head, known));
  }

  /**
   * Reads change rows in the order of their versions.
   *
   * @param environment - name of the environment
   * @param afterVersion - version after which to start
   * @param limit - maximum number of changes to read
   */
  readChanges(
    environment: string,
    afterVersion: number,
    limit: number,
  ): ResultAsync<EnvironmentChange[], SavoryspurError> {
    return this.table
      .scan({
        prefix: formatChangePrefix(environment),
        after: formatChangeKey(environment, afterVersion),
        limit,
      })
      .andThen((rows) => {
        const changes: EnvironmentChange[] = [];
        for (const row of rows) {
          const change = parseChangeRow(row);
          if (change.isErr()) return err(change.error);
          changes.push(change.value);
        }
        return ok(changes);
      });
  }

  private loadFromHead(
    environment: string,
    row: HeadRow,
    known: EnvironmentState,
  ): ResultAsync<LoadedState, SavoryspurError> {
    const {head, rowVersion} = row;
    return this.advance(environment, head, known).map((loaded) => ({
      ...loaded,
      rowVersion,
      head,
    }));
  }

  /**
   * Advances the known state by its missing changes. Starts from the newest
   * snapshot instead when the known state is older than that snapshot or the
   * changes do not lead from the known state to the head row.
   */
  private async advanceState(
    environment: string,
    head: EnvironmentHead,
    known: EnvironmentState,
  ): Promise<
    Result<
      {state: EnvironmentState; changes: EnvironmentChange[]},
      SavoryspurError
    >
  > {
    if (known.version === head.version && known.digest === head.digest) {
      return ok({state: known, changes: []});
    }
    if (known.version >= head.snapshotVersion && known.version < head.version) {
      const loaded = await this.replayChanges(environment, head, known);
      if (loaded.isErr() || loaded.value) return requireReplayed(loaded);
    }
    const snapshot = await this.readSnapshot(head.snapshotObject);
    if (snapshot.isErr()) return err(snapshot.error);
    const loaded = await this.replayChanges(environment, head, snapshot.value);
    return requireReplayed(loaded);
  }

  /**
   * Reads and applies all changes up to the version in the head row.
   *
   * @returns undefined when a change is missing or the digest does not match
   */
  private async replayChanges(
    environment: string,
    head: EnvironmentHead,
    start: EnvironmentState,
  ): Promise<
    Result<
      {state: EnvironmentState; changes: EnvironmentChange[]} | undefined,
      SavoryspurError
    >
  > {
    const replayed: EnvironmentChange[] = [];
    let state = start;
    while (state.version < head.version) {
      const read = await this.readChanges(
        environment,
        state.version,
        Math.min(CHANGES_PER_SCAN, head.version - state.version),
      );
      if (read.isErr()) return err(read.error);
      const changes = await this.fetchLargeDeltas(read.value);
      if (changes.isErr()) return err(changes.error);
      const next = applyChanges(state, changes.value);
      if (!next || next.version === state.version) return ok(undefined);
      state = next;
      replayed.push(...changes.value);
    }
    if (state.digest !== head.digest) return ok(undefined);
    return ok({state, changes: replayed});
  }

  /** Adds the deltas that are stored as objects to their changes. */
  private async fetchLargeDeltas(
    changes: EnvironmentChange[],
  ): Promise<Result<EnvironmentChange[], SavoryspurError>> {
    const completed: EnvironmentChange[] = [];
    for (const change of changes) {
      if (change.delta || !change.deltaObject) {
        completed.push(change);
        continue;
      }
      const delta = await this.readObject<EnvironmentDelta>(
        change.deltaObject,
        validateEnvironmentDelta,
      );
      if (delta.isErr()) return err(delta.error);
      completed.push({...change, delta: delta.value});
    }
    return ok(completed);
  }

  private readSnapshot(
    name: string,
  ): ResultAsync<EnvironmentState, SavoryspurError> {
    return this.readObject<EnvironmentSnapshot>(
      name,
      validateEnvironmentSnapshot,
    ).andThen((snapshot) => {
      const state = convertSnapshot(snapshot);
      if (state) return ok(state);
      return err(
        createInvalidDataError(
          name,
          'the digest of the snapshot does not match',
        ),
      );
    });
  }

  private readObject<T>(
    name: string,
    validate: (value: unknown) => Result<T, FieldError>,
  ): ResultAsync<T, SavoryspurError> {
    return this.objects
      .get(name)
      .andThen((body) => parseObject(name, body))
      .andThen((value) =>
        validate(value).mapErr((error) =>
          createInvalidDataError(name, formatFieldError(error)),
        ),
      );
  }
}

function createEmptyLoadedState(): LoadedState {
  return {rowVersion: 0, state: createEmptyState(), changes: []};
}

function parseObject(
  name: string,
  body: Buffer,
): Result<unknown, SavoryspurError> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch {
    return err(createInvalidDataError(name, 'the object is not JSON'));
  }
}

function requireReplayed<T>(
  loaded: Result<T | undefined, SavoryspurError>,
): Result<T, SavoryspurError> {
  if (loaded.isErr()) return err(loaded.error);
  if (loaded.value) return ok(loaded.value);
  return err(
    createInvalidDataError(
      'changes',
      'the changes do not lead to the newest version',
    ),
  );
}

function createInvalidDataError(
  peer: string,
  message: string,
): SavoryspurError {
  const origin = {step: 'config.load', peer};
  return new SavoryspurError(ErrorCode.BROKEN_ANSWER, origin, message);
}
