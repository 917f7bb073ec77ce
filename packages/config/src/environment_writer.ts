/** Writes changes of environments by compare-and-set transactions. */
import {randomUUID} from 'node:crypto';
import {
  type Clock,
  ErrorCode,
  type EventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {
  type ObjectStore,
  type ReadBackOptions,
  type TableService,
  TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {
  type ChangeAction,
  type Environment,
  type EnvironmentChange,
  type EnvironmentDelta,
  type EnvironmentHead,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {computeDigest} from './digest.js';
import {computeDelta, isEmptyDelta} from './environment_delta.js';
import type {LoadedState} from './environment_loader.js';
import {
  formatChangeKey,
  formatDeltaName,
  formatHeadKey,
  formatSnapshotName,
  parseChangeRow,
} from './environment_rows.js';
import {createSnapshot, type EnvironmentState} from './environment_state.js';

/**
 * Largest delta that is stored in the row of its change, bytes; a larger delta
 * is stored as an object.
 */
const MAX_ROW_DELTA_BYTES = 65_536;

/** Number of changes after which a new snapshot is written. */
const CHANGES_PER_SNAPSHOT = 200;

/** A change to commit: the new state of an environment and the state on which the change is based. */
export interface ProposedChange {
  environment: string;
  /** State on which the change is based. */
  base: LoadedState;
  /** Complete document of the new state, with sorted lists. */
  document: Environment;
  /** Digest of the declared document of the new state. */
  documentDigest: string;
  action: ChangeAction;
  operator: string;
}

/** Result of a commit: the state that is in storage. */
export interface CommitResult {
  state: EnvironmentState;
  /** The committed change; undefined when nothing had to be changed. */
  change?: EnvironmentChange;
  /**
   * Version of the snapshot that a new snapshot replaced; undefined when no
   * snapshot was replaced.
   */
  replacedSnapshotVersion?: number;
}

/** Dependencies of the writer. */
export interface WriterContext {
  table: TableService;
  objects: ObjectStore;
  clock: Clock;
  log: EventLog;
  options?: ReadBackOptions;
  /** Number of newest changes that stay in rows; older ones are archived. */
  keptChangeRows?: number;
}

/** Writes changes, snapshots and head rows. */
export class EnvironmentWriter {
  /** @param context - storage, clock and log */
  constructor(private readonly context: WriterContext) {}

  /**
   * Commits a change if the environment still has the state from which the
   * change was made.
   *
   * @returns the new state; an error with code CONFLICT when another change was
   *     committed first, or AMBIGUOUS when the outcome is unknown
   */
  async commit(
    proposal: ProposedChange,
  ): Promise<Result<CommitResult, SavoryspurError>> {
    const {base, document, documentDigest} = proposal;
    const delta = computeDelta(base.state.document, document);
    const isSameDocument = documentDigest === base.state.documentDigest;
    if (base.head && isEmptyDelta(delta) && isSameDocument) {
      return ok({state: base.state});
    }
    const state: EnvironmentState = {
      version: base.state.version + 1,
      digest: computeDigest(document),
      documentDigest,
      document,
    };
    const nonce = randomUUID();
    const change = await this.storeDelta(proposal, state, delta, nonce);
    if (change.isErr()) return err(change.error);
    const head = await this.storeSnapshot(proposal, state, nonce, change.value);
    if (head.isErr()) return err(head.error);
    const written = await this.writeRows(proposal, head.value, change.value);
    if (written.isErr()) return err(written.error);
    const {snapshotVersion: replacedSnapshotVersion} = base.head ?? {};
    const committed = {state, change: {...change.value, delta}};
    const isSnapshotNew = head.value.snapshotVersion === state.version;
    return ok(
      isSnapshotNew ? {...committed, replacedSnapshotVersion} : committed,
    );
  }

  /** Creates the change row and stores a large delta as an object. */
  private async storeDelta(
    proposal: ProposedChange,
    state: EnvironmentState,
    delta: EnvironmentDelta,
    nonce: string,
  ): Promise<Result<EnvironmentChange, SavoryspurError>> {
    const change: EnvironmentChange = {
      version: state.version,
      digest: state.digest,
      documentDigest: state.documentDigest,
      action: proposal.action,
      operator: proposal.operator,
      changedAt: this.context.clock.nowWall().toISOString(),
      nonce,
    };
    const body = Buffer.from(JSON.stringify(delta));
    if (body.length <= MAX_ROW_DELTA_BYTES) return ok({...change, delta});
    const name = formatDeltaName(proposal.environment, state.version, nonce);
    const stored = await this.tryPutObject(name, body);
    return stored.map(() => ({...change, deltaObject: name}));
  }

  /**
   * Stores a snapshot when one is due, and creates the head row. When the
   * snapshot cannot be stored, the head row keeps the previous snapshot; a
   * later change then stores one. Only the first snapshot of an environment is
   * required.
   */
  private async storeSnapshot(
    proposal: ProposedChange,
    state: EnvironmentState,
    nonce: string,
    change: EnvironmentChange,
  ): Promise<Result<EnvironmentHead, SavoryspurError>> {
    const head = {
      version: state.version,
      digest: state.digest,
      documentDigest: state.documentDigest,
      nonce,
    };
    const previous = proposal.base.head;
    const isDue =
      !previous ||
      change.deltaObject !== undefined ||
      state.version - previous.snapshotVersion >= CHANGES_PER_SNAPSHOT;
    if (!isDue) {
      const {snapshotVersion, snapshotObject} = previous;
      return ok({...head, snapshotVersion, snapshotObject});
    }
    const name = formatSnapshotName(proposal.environment, state.version, nonce);
    const body = Buffer.from(JSON.stringify(createSnapshot(state)));
    const stored = await this.tryPutObject(name, body);
    if (stored.isOk()) {
      const snapshotVersion = state.version;
      return ok({...head, snapshotVersion, snapshotObject: name});
    }
    if (!previous) return err(stored.error);
    const {snapshotVersion, snapshotObject} = previous;
    return ok({...head, snapshotVersion, snapshotObject});
  }

  /** Writes the head row and the change row in one transaction. */
  private async writeRows(
    proposal: ProposedChange,
    head: EnvironmentHead,
    change: EnvironmentChange,
  ): Promise<Result<void, SavoryspurError>> {
    const headKey = formatHeadKey(proposal.environment);
    const changeKey = formatChangeKey(proposal.environment, change.version);
    const outcome = await transactWithReadBack(this.context, {
      conditions: [
        {key: headKey, version: proposal.base.rowVersion},
        {key: changeKey, version: 0},
      ],
      writes: [
        {key: headKey, value: {...head}},
        {key: changeKey, value: {...change}},
      ],
    });
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value === TransactionOutcome.COMMITTED) return ok(undefined);
    return this.resolveConflict(proposal, changeKey, change);
  }

  /**
   * Finds out whether this change was committed after a transaction reported a
   * conflict. The read-after-write check also reports a conflict when another
   * change was committed immediately after this one, so the nonce in the row of
   * the change decides.
   */
  private async resolveConflict(
    proposal: ProposedChange,
    changeKey: string,
    change: EnvironmentChange,
  ): Promise<Result<void, SavoryspurError>> {
    const headKey = formatHeadKey(proposal.environment);
    const rows = await this.context.table.read([changeKey, headKey]);
    if (rows.isErr())
      return err(this.createAmbiguousError(headKey, rows.error));
    const row = rows.value.find((candidate) => candidate.key === changeKey);
    const stored = row && parseChangeRow(row);
    if (stored?.isOk() && stored.value.nonce === change.nonce) {
      return ok(undefined);
    }
    const headRow = rows.value.find((candidate) => candidate.key === headKey);
    const version = (headRow?.value as {version?: number})?.version ?? 0;
    return err(
      createConflictError(
        proposal.environment,
        proposal.base.state.version,
        version,
      ),
    );
  }

  private createAmbiguousError(
    peer: string,
    cause: SavoryspurError,
  ): SavoryspurError {
    return new SavoryspurError(
      ErrorCode.AMBIGUOUS,
      {step: 'config.commit', peer},
      'the outcome could not be read back',
      {cause},
    );
  }

  /**
   * Stores an object, with one retry. When both attempts fail, the change is not
   * committed.
   */
  private async tryPutObject(
    name: string,
    body: Buffer,
  ): Promise<Result<void, SavoryspurError>> {
    const {objects} = this.context;
    const first = await objects.put(name, body);
    if (first.isOk()) return first;
    const second = await objects.put(name, body);
    return second.mapErr(
      (error) =>
        new SavoryspurError(
          ErrorCode.UNAVAILABLE,
          error.origin,
          'the object was not stored, so nothing was changed',
          {cause: error},
        ),
    );
  }
}

/** Creates the error for a change whose base version is no longer in force. */
export function createConflictError(
  environment: string,
  baseVersion: number,
  currentVersion: number,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CONFLICT,
    {step: 'config.commit', peer: environment},
    `the change is based on version ${baseVersion}, but version ` +
      `${currentVersion} is in force; read it and try again`,
  );
}
