/** Keeps the newest configuration in force on one host. */
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

/** Most changes that are kept to answer peers. */
const MAX_KEPT_CHANGES = 256;

/** Failed polls in a row after which the configuration counts as stale. */
const STALE_AFTER_POLLS = 5;

/** What the follower needs. */
export interface FollowerContext {
  /** Environment that this host serves. */
  environment: string;
  loader: EnvironmentLoader;
  clock: Clock;
  log: EventLog;
  /** Period of polls, milliseconds. */
  pollMs: number;
  /**
   * Time without news of the newest version after which none is in force,
   * milliseconds; absent or 0 to keep the last one in force.
   */
  maxStalenessMs?: number;
}

/** Source of the configuration; it only ever moves forward. */
export class ConfigFollower implements EnvironmentSource {
  private state: EnvironmentState = createEmptyState();
  private index: EnvironmentIndex | undefined;
  private changes: EnvironmentChange[] = [];
  private failedPolls = 0;
  private confirmedMs: number | undefined;
  private readonly listeners = new Set<(index: EnvironmentIndex) => void>();

  /** @param context - environment, platform, clock and log */
  constructor(private readonly context: FollowerContext) {}

  /**
   * {@inheritDoc EnvironmentSource.getCurrent}
   *
   * Reads the clock each time, so that a host that wakes from a pause does not
   * serve by a version that is too old.
   */
  getCurrent(): EnvironmentIndex | undefined {
    const {maxStalenessMs: maxAgeMs = 0} = this.context;
    if (maxAgeMs > 0 && (this.getAge() ?? Infinity) > maxAgeMs) {
      return undefined;
    }
    return this.index;
  }

  /**
   * Gets the time since this host last learnt that its version is the newest,
   * milliseconds; undefined when it never did.
   */
  getAge(): number | undefined {
    if (this.confirmedMs === undefined) return undefined;
    return this.context.clock.now() - this.confirmedMs;
  }

  /**
   * Marks a version as known to have been the newest.
   *
   * @param version - the version
   * @param atMs - when it surely still was the newest, monotonic milliseconds
   */
  markConfirmed(version: number, atMs: number): void {
    if (this.state.version < version) return;
    this.confirmedMs = Math.max(this.confirmedMs ?? atMs, atMs);
  }

  /** {@inheritDoc EnvironmentSource.subscribe} */
  subscribe(listener: (index: EnvironmentIndex) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Gets the state in force; its version is 0 until one is known. */
  getState(): EnvironmentState {
    return this.state;
  }

  /** Lists kept changes after a version; undefined when one is missing. */
  listChanges(afterVersion: number): EnvironmentChange[] | undefined {
    if (afterVersion >= this.state.version) return [];
    const first = this.changes[0]?.version ?? this.state.version + 1;
    if (first > afterVersion + 1) return undefined;
    return this.changes.filter((change) => change.version > afterVersion);
  }

  /**
   * Puts a state in force if it is newer.
   *
   * @param state - a whole state whose digest was checked
   * @param changes - changes that led to it, as far as known
   * @returns whether it was newer
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
   * Puts changes in force that follow the state.
   *
   * @returns whether the host is at or after the last of them now
   */
  updateWithChanges(changes: readonly EnvironmentChange[]): boolean {
    const next = applyChanges(this.state, changes);
    if (!next) return false;
    this.update(next, changes);
    return true;
  }

  /** Polls the platform until the signal ends it. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll();
      await this.context.clock.sleep(this.context.pollMs, signal);
    }
  }

  /**
   * Reads the platform once.
   *
   * @returns whether it answered
   */
  async poll(): Promise<boolean> {
    const {environment, loader, clock} = this.context;
    const startMs = clock.now();
    const row = await loader.readHead(environment);
    if (row.isErr()) return this.countFailure(row.error.message);
    this.failedPolls = 0;
    const version = row.value?.head.version ?? 0;
    this.markConfirmed(version, startMs);
    if (!row.value || version <= this.state.version) return true;
    const loaded = await loader.advance(
      environment,
      row.value.head,
      this.state,
    );
    if (loaded.isErr()) return this.countFailure(loaded.error.message);
    this.update(loaded.value.state, loaded.value.changes);
    this.markConfirmed(version, startMs);
    return true;
  }

  private countFailure(reason: string): boolean {
    this.failedPolls += 1;
    if (this.failedPolls === STALE_AFTER_POLLS) {
      this.context.log.record(ConfigEvent.VERSION_READ_FAILING, {
        step: 'config.poll',
        version: this.state.version,
        reason,
      });
    }
    return false;
  }

  /** Keeps changes without gaps up to the new state. */
  private keepChanges(
    state: EnvironmentState,
    changes: readonly EnvironmentChange[],
  ): void {
    const newer = changes.filter(
      (change) =>
        change.version > this.state.version && change.version <= state.version,
    );
    const isSmall = newer.every((change) => change.deltaObject === undefined);
    const isWhole =
      isSmall && newer.length === state.version - this.state.version;
    const kept = isWhole ? [...this.changes, ...newer] : [];
    this.changes = kept.slice(-MAX_KEPT_CHANGES);
  }
}
