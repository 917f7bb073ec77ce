/** Writes one change of an environment by compare-and-set. */
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
  parseChange,
} from './environment_rows.js';
import {createSnapshot, type EnvironmentState} from './environment_state.js';

/** Largest delta that is kept in the row of its change, bytes. */
const MAX_ROW_DELTA_BYTES = 65_536;

/** Changes after which a new snapshot is written. */
const CHANGES_PER_SNAPSHOT = 200;

/** What an environment is to become. */
export interface Proposal {
  environment: string;
  /** State that the proposal was made from. */
  base: LoadedState;
  /** Whole document of the new state, with sorted lists. */
  document: Environment;
  /** Digest of the declared document. */
  documentDigest: string;
  action: ChangeAction;
  operator: string;
}

/** A state that is in the platform. */
export interface Committed {
  state: EnvironmentState;
  /** The change that led to it; undefined when nothing had to change. */
  change?: EnvironmentChange;
  /** Version of the snapshot that a new one replaced; undefined without one. */
  replacedSnapshot?: number;
}

/** What the writer needs. */
export interface WriterContext {
  table: TableService;
  objects: ObjectStore;
  clock: Clock;
  log: EventLog;
  options?: ReadBackOptions;
  /** Changes that stay in rows; older ones are archived. */
  keptChanges?: number;
}

/** Writes changes, snapshots and version rows. */
export class EnvironmentWriter {
  /** @param context - platform, clock and log */
  constructor(private readonly context: WriterContext) {}

  /**
   * Commits a proposal if the environment still is at its base.
   *
   * @returns the new state; an error with code CONFLICT when another change
   *     came first, or AMBIGUOUS when the outcome could not be learnt
   */
  async commit(
    proposal: Proposal,
  ): Promise<Result<Committed, SavoryspurError>> {
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
    const written = await this.write(proposal, head.value, change.value);
    if (written.isErr()) return err(written.error);
    const {snapshotVersion: replacedSnapshot} = base.head ?? {};
    const committed = {state, change: {...change.value, delta}};
    const isNew = head.value.snapshotVersion === state.version;
    return ok(isNew ? {...committed, replacedSnapshot} : committed);
  }

  /** Makes the change, with a large delta in an object of its own. */
  private async storeDelta(
    proposal: Proposal,
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
    const stored = await this.putObject(name, body);
    return stored.map(() => ({...change, deltaObject: name}));
  }

  /** Writes a snapshot when one is due, and makes the version row. */
  private async storeSnapshot(
    proposal: Proposal,
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
    const stored = await this.putObject(name, body);
    if (stored.isOk()) {
      const snapshotVersion = state.version;
      return ok({...head, snapshotVersion, snapshotObject: name});
    }
    if (!previous) return err(stored.error);
    const {snapshotVersion, snapshotObject} = previous;
    return ok({...head, snapshotVersion, snapshotObject});
  }

  private async write(
    proposal: Proposal,
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
    return this.readConflict(proposal, changeKey, change);
  }

  /**
   * Learns who won. Our own change counts as lost in the read-back when another
   * one followed it at once, so the row of the change decides.
   */
  private async readConflict(
    proposal: Proposal,
    changeKey: string,
    change: EnvironmentChange,
  ): Promise<Result<void, SavoryspurError>> {
    const headKey = formatHeadKey(proposal.environment);
    const rows = await this.context.table.read([changeKey, headKey]);
    if (rows.isErr()) return err(this.createUnknownError(headKey, rows.error));
    const row = rows.value.find((candidate) => candidate.key === changeKey);
    const winner = row && parseChange(row);
    if (winner?.isOk() && winner.value.nonce === change.nonce) {
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

  private createUnknownError(
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

  /** Stores an object, twice if needed; without it nothing is committed. */
  private async putObject(
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

/** Makes the error of an operator whose base is no longer the newest. */
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
