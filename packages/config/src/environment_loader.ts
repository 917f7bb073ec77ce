/** Reads environments from the platform. */
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
  parseChange,
  parseHead,
} from './environment_rows.js';
import {
  applyChanges,
  convertSnapshot,
  createEmptyState,
  type EnvironmentState,
} from './environment_state.js';

/** Most change rows in one scan. */
const CHANGES_PER_SCAN = 100;

/** A state as read, with the version of its row. */
export interface LoadedState {
  /** Version of the version row in the table; 0 when there is none. */
  rowVersion: number;
  /** Snapshot that the version row names; undefined when there is none. */
  head?: EnvironmentHead;
  state: EnvironmentState;
  /** Changes that were read on the way, in order. */
  changes: EnvironmentChange[];
}

/** Reads version rows, changes and snapshots. */
export class EnvironmentLoader {
  /**
   * @param table - holds version rows and changes
   * @param objects - holds snapshots and large deltas
   */
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
  ) {}

  /** Reads the version row; undefined when there is none. */
  readHead(
    environment: string,
  ): ResultAsync<HeadRow | undefined, SavoryspurError> {
    return this.table
      .read([formatHeadKey(environment)])
      .andThen((rows) => parseHead(rows[0]));
  }

  /**
   * Reads the newest state. What is known already is not read again.
   *
   * @param environment - name of the environment
   * @param known - a state of the environment that is at hand
   */
  load(
    environment: string,
    known: EnvironmentState = createEmptyState(),
  ): ResultAsync<LoadedState, SavoryspurError> {
    return this.readHead(environment).andThen((row) =>
      row ? this.loadRow(environment, row, known) : okAsync(createNoState()),
    );
  }

  /**
   * Brings a state to the version that a version row names.
   *
   * @param environment - name of the environment
   * @param head - the version row
   * @param known - a state of the environment that is at hand
   */
  advance(
    environment: string,
    head: EnvironmentHead,
    known: EnvironmentState,
  ): ResultAsync<
    {state: EnvironmentState; changes: EnvironmentChange[]},
    SavoryspurError
  > {
    return new ResultAsync(this.runAdvance(environment, head, known));
  }

  /**
   * Reads changes in order.
   *
   * @param environment - name of the environment
   * @param afterVersion - version after which to start
   * @param limit - most changes
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
          const change = parseChange(row);
          if (change.isErr()) return err(change.error);
          changes.push(change.value);
        }
        return ok(changes);
      });
  }

  private loadRow(
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

  private async runAdvance(
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
      const loaded = await this.advanceFrom(environment, head, known);
      if (loaded.isErr() || loaded.value) return convertReplay(loaded);
    }
    const snapshot = await this.readSnapshot(head.snapshotObject);
    if (snapshot.isErr()) return err(snapshot.error);
    const loaded = await this.advanceFrom(environment, head, snapshot.value);
    return convertReplay(loaded);
  }

  /** Applies all changes up to the version row's; undefined when they do not fit. */
  private async advanceFrom(
    environment: string,
    head: EnvironmentHead,
    start: EnvironmentState,
  ): Promise<
    Result<
      {state: EnvironmentState; changes: EnvironmentChange[]} | undefined,
      SavoryspurError
    >
  > {
    const all: EnvironmentChange[] = [];
    let state = start;
    while (state.version < head.version) {
      const read = await this.readChanges(
        environment,
        state.version,
        Math.min(CHANGES_PER_SCAN, head.version - state.version),
      );
      if (read.isErr()) return err(read.error);
      const changes = await this.fetchDeltas(read.value);
      if (changes.isErr()) return err(changes.error);
      const next = applyChanges(state, changes.value);
      if (!next || next.version === state.version) return ok(undefined);
      state = next;
      all.push(...changes.value);
    }
    if (state.digest !== head.digest) return ok(undefined);
    return ok({state, changes: all});
  }

  /** Fetches the deltas that were too large for their rows. */
  private async fetchDeltas(
    changes: EnvironmentChange[],
  ): Promise<Result<EnvironmentChange[], SavoryspurError>> {
    const whole: EnvironmentChange[] = [];
    for (const change of changes) {
      if (change.delta || !change.deltaObject) {
        whole.push(change);
        continue;
      }
      const delta = await this.readObject<EnvironmentDelta>(
        change.deltaObject,
        validateEnvironmentDelta,
      );
      if (delta.isErr()) return err(delta.error);
      whole.push({...change, delta: delta.value});
    }
    return ok(whole);
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
      return err(createBrokenError(name, 'the digest does not match'));
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
          createBrokenError(name, formatFieldError(error)),
        ),
      );
  }
}

function createNoState(): LoadedState {
  return {rowVersion: 0, state: createEmptyState(), changes: []};
}

function parseObject(
  name: string,
  body: Buffer,
): Result<unknown, SavoryspurError> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch {
    return err(createBrokenError(name, 'the object is not JSON'));
  }
}

function convertReplay<T>(
  loaded: Result<T | undefined, SavoryspurError>,
): Result<T, SavoryspurError> {
  if (loaded.isErr()) return err(loaded.error);
  if (loaded.value) return ok(loaded.value);
  return err(
    createBrokenError('changes', 'they do not lead to the newest version'),
  );
}

function createBrokenError(peer: string, message: string): SavoryspurError {
  const origin = {step: 'config.load', peer};
  return new SavoryspurError(ErrorCode.BROKEN_ANSWER, origin, message);
}
