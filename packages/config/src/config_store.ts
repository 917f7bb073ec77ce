/** Reads environments and makes the changes that operators request. */
import {createHash, randomBytes} from 'node:crypto';
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  ChangeAction,
  type Environment,
  type EnvironmentChange,
  type FieldError,
  formatFieldError,
  type Key,
  KeyState,
  type ZoneState,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {checkConsistency} from './consistency_checks.js';
import {computeDigest} from './digest.js';
import {EnvironmentArchive} from './environment_archive.js';
import {addKey, setZoneState, withdrawKey} from './environment_edits.js';
import {EnvironmentLoader, type LoadedState} from './environment_loader.js';
import type {EnvironmentState} from './environment_state.js';
import {
  type CommitResult,
  createConflictError,
  EnvironmentWriter,
  type WriterContext,
} from './environment_writer.js';
import {getDeclaredPart, mergeDocument} from './merge_document.js';

/**
 * Maximum number of attempts of a command. A command does not depend on a base
 * version, so it is repeated when another change was committed first.
 */
const MAX_COMMAND_ATTEMPTS = 8;

/** Number of random bytes in the secret of a key. */
const KEY_RANDOM_BYTES = 32;

/** Number of random bytes in the id of a key. */
const KEY_ID_RANDOM_BYTES = 6;

/** Prefix of every issued key, by which secret scanners recognize keys. */
const KEY_PREFIX = 'ssp_';

/** Options of {@link ConfigStore.apply}. */
export interface ApplyOptions {
  environment: string;
  document: Environment;
  /** Version that the operator read; 0 when there was none. */
  baseVersion: number;
  operator: string;
}

/** Options of {@link ConfigStore.promote}. */
export interface PromoteOptions {
  /** Environment in which the document was tested. */
  from: string;
  /** Environment to promote to. */
  to: string;
  /** Digest of the document that was tested. */
  documentDigest: string;
  /** Version of the target environment that the operator read; 0 for none. */
  baseVersion: number;
  operator: string;
}

/** A newly issued key. Its secret is stored nowhere else. */
export interface IssuedKey {
  key: Key;
  secret: string;
  committed: CommitResult;
}

/** Returns a changed document, or an error when the command is invalid. */
type DocumentEdit = (
  document: Environment,
) => Result<Environment, SavoryspurError>;

/** Reads and changes environments in storage. */
export class ConfigStore {
  private readonly loader: EnvironmentLoader;
  private readonly writer: EnvironmentWriter;
  private readonly archive: EnvironmentArchive;
  private readonly cache = new Map<string, EnvironmentState>();
  private readonly listeners = new Set<
    (environment: string, committed: CommitResult) => void
  >();

  /** @param context - storage, clock and log */
  constructor(context: WriterContext) {
    this.loader = new EnvironmentLoader(context.table, context.objects);
    this.writer = new EnvironmentWriter(context);
    this.archive = new EnvironmentArchive(context);
  }

  /**
   * Registers a listener for changes that are committed through this store.
   *
   * @returns a function that removes the listener
   */
  subscribe(
    listener: (environment: string, committed: CommitResult) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Reads the newest state; its version is 0 before the first change. */
  async get(
    environment: string,
  ): Promise<Result<LoadedState, SavoryspurError>> {
    const known = this.cache.get(environment);
    const loaded = await this.loader.load(environment, known);
    if (loaded.isOk()) this.cache.set(environment, loaded.value.state);
    return loaded;
  }

  /**
   * Applies a document to the version that the operator read.
   *
   * @returns an error with code CONFLICT when another version is in force
   */
  async apply(
    options: ApplyOptions,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const {environment, baseVersion, operator} = options;
    const base = await this.get(environment);
    if (base.isErr()) return err(base.error);
    const current = base.value.state.version;
    if (current !== baseVersion) {
      return err(createConflictError(environment, baseVersion, current));
    }
    const action = ChangeAction.APPLY;
    const documentDigest = computeDigest(options.document);
    const {document} = options;
    return this.commitDocument(
      {environment, base: base.value, action, operator, documentDigest},
      document,
    );
  }

  /**
   * Promotes the tested document of another environment.
   *
   * @returns an error with code CONFLICT when the digest of the source document
   *     has changed or another version of the target is in force
   */
  async promote(
    options: PromoteOptions,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const {from, to, documentDigest, baseVersion, operator} = options;
    const loaded = await this.get(from);
    if (loaded.isErr()) return err(loaded.error);
    const source = loaded.value.state;
    if (source.version === 0 || source.documentDigest !== documentDigest) {
      return err(
        createDigestConflictError(from, source.documentDigest, documentDigest),
      );
    }
    const base = await this.get(to);
    if (base.isErr()) return err(base.error);
    const current = base.value.state.version;
    if (current !== baseVersion) {
      return err(createConflictError(to, baseVersion, current));
    }
    const action = ChangeAction.PROMOTE;
    return this.commitDocument(
      {environment: to, base: base.value, action, operator, documentDigest},
      getDeclaredPart(source.document),
    );
  }

  /** Issues a key. Only the hash of its secret is stored. */
  async issueKey(
    environment: string,
    request: {workspace: string; id?: string; operator: string},
  ): Promise<Result<IssuedKey, SavoryspurError>> {
    const secret =
      KEY_PREFIX + randomBytes(KEY_RANDOM_BYTES).toString('base64url');
    const key: Key = {
      id:
        request.id ?? `key-${randomBytes(KEY_ID_RANDOM_BYTES).toString('hex')}`,
      workspace: request.workspace,
      hash: createHash('sha256').update(secret).digest('hex'),
      state: KeyState.ACTIVE,
      issued: true,
    };
    const action = ChangeAction.ISSUE_KEY;
    const committed = await this.runCommand(
      {environment, action, operator: request.operator},
      (document) => addKey(document, key),
    );
    return committed.map((value) => ({key, secret, committed: value}));
  }

  /** Withdraws a key permanently; has no effect on a withdrawn key. */
  withdrawKey(
    environment: string,
    id: string,
    operator: string,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const action = ChangeAction.WITHDRAW_KEY;
    return this.runCommand({environment, action, operator}, (document) =>
      withdrawKey(document, id),
    );
  }

  /** Takes a zone out of service or puts it back in service. */
  setZoneState(
    environment: string,
    zone: string,
    state: ZoneState,
    operator: string,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const action = ChangeAction.SET_ZONE_STATE;
    return this.runCommand({environment, action, operator}, (document) =>
      setZoneState(document, zone, state),
    );
  }

  /**
   * Reads past changes, the newest first. Changes whose rows were deleted are
   * read from the archive.
   *
   * @param environment - name of the environment
   * @param beforeVersion - version before which to start; 0 for the newest
   * @param limit - maximum number of changes to read
   */
  async getHistory(
    environment: string,
    beforeVersion: number,
    limit: number,
  ): Promise<Result<EnvironmentChange[], SavoryspurError>> {
    const row = await this.loader.readHead(environment);
    if (row.isErr()) return err(row.error);
    const newest = row.value?.head.version ?? 0;
    const end =
      beforeVersion > 0 ? Math.min(beforeVersion - 1, newest) : newest;
    const start = Math.max(0, end - limit);
    if (end <= start) return ok([]);
    const read = await this.loader.readChanges(environment, start, end - start);
    if (read.isErr()) return err(read.error);
    const changes = read.value.filter((change) => change.version <= end);
    if (changes.length === end - start) return ok(changes.reverse());
    const first = changes[0]?.version ?? end + 1;
    const older = await this.archive.read(environment, start, first - 1);
    return older.map((archived) => [...archived, ...changes].reverse());
  }

  /**
   * Runs a command on the newest state, and again when another change was
   * committed first.
   */
  private async runCommand(
    command: {environment: string; action: ChangeAction; operator: string},
    edit: DocumentEdit,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    let conflict: SavoryspurError | undefined;
    for (let attempt = 0; attempt < MAX_COMMAND_ATTEMPTS; attempt++) {
      const base = await this.get(command.environment);
      if (base.isErr()) return err(base.error);
      const edited = edit(base.value.state.document);
      if (edited.isErr()) return err(edited.error);
      const committed = await this.writer.commit({
        ...command,
        base: base.value,
        document: edited.value,
        documentDigest: base.value.state.documentDigest,
      });
      if (committed.isOk()) return this.publish(command, committed.value);
      if (committed.error.code !== ErrorCode.CONFLICT) return committed;
      conflict = committed.error;
    }
    return err(conflict ?? createConflictError(command.environment, 0, 0));
  }

  /** Merges a declared document into the base state and commits the result. */
  private async commitDocument(
    proposal: {
      environment: string;
      base: LoadedState;
      action: ChangeAction;
      operator: string;
      documentDigest: string;
    },
    declared: Environment,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const {environment, base} = proposal;
    const merged = mergeDocument(base.state.document, declared);
    if (merged.isErr()) return err(createMergeError(environment, merged.error));
    const errors = checkConsistency(merged.value);
    if (errors.length > 0) return err(createMergeError(environment, errors));
    const document = merged.value;
    const committed = await this.writer.commit({...proposal, document});
    if (committed.isErr()) return err(committed.error);
    return this.publish(proposal, committed.value);
  }

  /**
   * Tells the listeners of a commit. After a commit with a new snapshot, old
   * changes are archived and old snapshots deleted in the background.
   */
  private publish(
    {environment}: {environment: string},
    committed: CommitResult,
  ): Result<CommitResult, SavoryspurError> {
    const {state, replacedSnapshotVersion} = committed;
    if (replacedSnapshotVersion !== undefined) {
      void this.archive.archiveAndPrune(
        environment,
        state.version,
        replacedSnapshotVersion,
      );
    }
    this.cache.set(environment, committed.state);
    for (const listener of this.listeners) listener(environment, committed);
    return ok(committed);
  }
}

function createMergeError(
  environment: string,
  errors: readonly FieldError[],
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.INVALID_INPUT,
    {step: 'config.merge', peer: environment},
    errors.map((error) => formatFieldError(error)).join('; '),
  );
}

function createDigestConflictError(
  environment: string,
  found: string,
  expected: string,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CONFLICT,
    {step: 'config.promote', peer: environment},
    `documentDigest: found ${found} in ${environment}, expected ${expected}; ` +
      'the tested document is no longer in force',
  );
}
