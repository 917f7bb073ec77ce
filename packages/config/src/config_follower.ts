/** Keeps the newest known configuration in force on one host. */
import {
  type Clock,
  ConfigEvent,
  type EnvironmentIndex,
  type EnvironmentSource,
  type EventLog,
} from '@savoryspur/common';
import type {EnvironmentChange} from '@savoryspur/schema';
import type {EnvironmentLoader} from './environment_loader.js';
import {
  applyChanges,
  createEmptyState,
  createIndex,
  type EnvironmentState,
} from './environment_state.js';

/** Maximum number of changes, the newest ones, that are kept in memory to answer peers. */
const MAX_KEPT_CHANGES = 256;

/**
 * Consecutive failed polls after which the configuration counts as stale, which
 * is logged once.
 */
const STALE_AFTER_FAILED_POLLS = 5;

/** Dependencies of the follower. */
export interface FollowerContext {
  /** Environment that this host serves. */
  environment: string;
  loader: EnvironmentLoader;
  clock: Clock;
  log: EventLog;
  /** Poll period of {@link ConfigFollower.run}, milliseconds. */
  pollMs: number;
  /**
   * Staleness above which no version is in force any more, milliseconds; absent
   * or 0 to keep the last version in force without a limit.
   */
  maxStalenessMs?: number;
}

/**
 * Source of the configuration in force. Its version never decreases: older
 * states and changes are ignored.
 */
export class ConfigFollower implements EnvironmentSource {
  private state: EnvironmentState = createEmptyState();
  private index: EnvironmentIndex | undefined;
  private changes: EnvironmentChange[] = [];
  private consecutiveFailedPolls = 0;
  private confirmedAtMs: number | undefined;
  private readonly listeners = new Set<(index: EnvironmentIndex) => void>();

  /** @param context - environment, loader, clock and log */
  constructor(private readonly context: FollowerContext) {}

  /**
   * {@inheritDoc EnvironmentSource.getCurrent}
   *
   * Compares the staleness with its limit at each call, so that a host that
   * resumes after a pause does not use a version that is too old.
   */
  getCurrent(): EnvironmentIndex | undefined {
    const {maxStalenessMs = 0} = this.context;
    if (
      maxStalenessMs > 0 &&
      (this.getStalenessMs() ?? Infinity) > maxStalenessMs
    ) {
      return undefined;
    }
    return this.index;
  }

  /**
   * Gets the time since the version in force was last known to be the newest,
   * milliseconds; undefined when it was never known to be.
   */
  getStalenessMs(): number | undefined {
    if (this.confirmedAtMs === undefined) return undefined;
    return this.context.clock.now() - this.confirmedAtMs;
  }

  /**
   * Records that a version was the newest one at a time. Ignores a version that
   * is newer than the version in force.
   *
   * @param version - the newest version at that time
   * @param atMs - time on the monotonic clock of this host, milliseconds
   */
  markConfirmed(version: number, atMs: number): void {
    if (this.state.version < version) return;
    this.confirmedAtMs = Math.max(this.confirmedAtMs ?? atMs, atMs);
  }

  /** {@inheritDoc EnvironmentSource.subscribe} */
  subscribe(listener: (index: EnvironmentIndex) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Gets the last known state; its version is 0 until a version is known. */
  getState(): EnvironmentState {
    return this.state;
  }

  /**
   * Lists the changes after a version, in order; undefined when a change is no
   * longer kept in memory.
   */
  listChanges(afterVersion: number): EnvironmentChange[] | undefined {
    if (afterVersion >= this.state.version) return [];
    const firstKept = this.changes[0]?.version ?? this.state.version + 1;
    if (firstKept > afterVersion + 1) return undefined;
    return this.changes.filter((change) => change.version > afterVersion);
  }

  /**
   * Puts a state in force if its version is newer than the one in force.
   *
   * @param state - complete state whose digest was checked
   * @param changes - known changes that led to the state
   * @returns whether the state was put in force
   */
  update(
    state: EnvironmentState,
    changes: readonly EnvironmentChange[] = [],
  ): boolean {
    if (state.version <= this.state.version) return false;
    this.keepChanges(state, changes);
    this.state = state;
    const index = createIndex(state, this.index);
    this.index = index;
    this.context.log.record(ConfigEvent.VERSION_APPLIED, {
      step: 'config.update',
      version: state.version,
      digest: state.digest,
    });
    for (const listener of this.listeners) listener(index);
    return true;
  }

  /**
   * Applies changes to the state in force and puts the result in force.
   *
   * @returns whether the version in force now is at least that of the last
   *     change; false when a change is missing or the digest does not match
   */
  updateWithChanges(changes: readonly EnvironmentChange[]): boolean {
    const next = applyChanges(this.state, changes);
    if (!next) return false;
    this.update(next, changes);
    return true;
  }

  /** Polls storage until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll();
      await this.context.clock.sleep(this.context.pollMs, signal);
    }
  }

  /**
   * Reads the newest version from storage once.
   *
   * @returns whether storage answered
   */
  async poll(): Promise<boolean> {
    const {environment, loader, clock} = this.context;
    const startMs = clock.now();
    const row = await loader.readHead(environment);
    if (row.isErr()) return this.countFailedPoll(row.error.message);
    this.consecutiveFailedPolls = 0;
    const version = row.value?.head.version ?? 0;
    this.markConfirmed(version, startMs);
    if (!row.value || version <= this.state.version) return true;
    const loaded = await loader.advance(
      environment,
      row.value.head,
      this.state,
    );
    if (loaded.isErr()) return this.countFailedPoll(loaded.error.message);
    this.update(loaded.value.state, loaded.value.changes);
    this.markConfirmed(version, startMs);
    return true;
  }

  private countFailedPoll(reason: string): boolean {
    this.consecutiveFailedPolls += 1;
    if (this.consecutiveFailedPolls === STALE_AFTER_FAILED_POLLS) {
      this.context.log.record(ConfigEvent.VERSION_READ_FAILING, {
        step: 'config.poll',
        version: this.state.version,
        reason,
      });
    }
    return false;
  }

  /**
   * Adds the changes that lead to a new state to those kept in memory. When one
   * is missing or its delta is stored as an object, no change is kept, so that
   * the kept changes have no gap.
   */
  private keepChanges(
    state: EnvironmentState,
    changes: readonly EnvironmentChange[],
  ): void {
    const newer = changes.filter(
      (change) =>
        change.version > this.state.version && change.version <= state.version,
    );
    const areDeltasInline = newer.every(
      (change) => change.deltaObject === undefined,
    );
    const isGapless =
      areDeltasInline && newer.length === state.version - this.state.version;
    const kept = isGapless ? [...this.changes, ...newer] : [];
    this.changes = kept.slice(-MAX_KEPT_CHANGES);
  }
}
