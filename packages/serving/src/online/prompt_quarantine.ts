/**
 * Quarantines prompt parts that crash backend servers. Each daemon publishes the
 * crashes that it saw in a row of the store and follows the rows of all others,
 * so that all daemons come to the same result, also after a restart.
 */
import {
  type Clock,
  type EventLog,
  parseDocument,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type PromptCrash,
  type PromptCrashRow,
  validatePromptCrashRow,
} from '@savoryspur/schema';
import {RowPublisher} from '../store/row_publisher.js';
import type {RowStore} from '../store/row_store.js';
import {
  type FollowedRow,
  TableFollower,
  type TableListener,
} from '../store/table_follower.js';
import {type CrashingParts, findCrashingParts} from './find_crashing_parts.js';

/** Table of the crashes under prompt parts; all rows are in the partition with the empty name. */
const PROMPT_CRASH_TABLE = 'prompt_crashes';

/** Time after the last crash for which requests with the parts are refused, milliseconds. */
const QUARANTINE_MS = 120_000;

/** Time for which a crash counts, milliseconds: a part that crashes a server again after its quarantine is refused at once. */
const CRASH_RETENTION_MS = 600_000;

/** Maximum number of crashes in the row of one daemon; the oldest are dropped first. */
const MAX_CRASHES_PER_DAEMON = 16;

/** Maximum number of prompt parts of a crash; like the next two limits, it keeps a row below the size that the store accepts. */
const MAX_PARTS_PER_CRASH = 16;

/** Maximum length of the name of a prompt part, characters. */
const MAX_PART_CHARACTERS = 64;

/** Maximum number of sound parts in the row of one daemon; the oldest are dropped first. */
const MAX_SOUND_PARTS_PER_DAEMON = 128;

/** Time for which sound parts are collected before they are published, for each daemon in the fleet, milliseconds: the first daemon to publish a part saves the others the write. */
const SOUND_DELAY_MS_PER_DAEMON = 5;

/** Pause between two writes, and after the first failed write, milliseconds; doubles with further failures. */
const WRITE_PAUSE_MS = 100;

/** Time in which changes of the rows are coalesced before they are read, milliseconds. */
const COALESCE_MS = 100;

/** Timeout of one write, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 800;

/** Components that the quarantine uses. */
export interface PromptQuarantineOptions {
  /** Host of this daemon, which is the key of its row. */
  host: string;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  /** Counts the daemons of the fleet. */
  countDaemons: () => number;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Row of one daemon as it was read. */
interface KnownRow extends PromptCrashRow {
  version: number;
}

/** Quarantined prompt parts, by the crashes that this daemon saw and that its peers published. */
export class PromptQuarantine implements TableListener {
  /** Rows of all daemons, by host. */
  private readonly rows = new Map<string, KnownRow>();
  /** Crashes that this daemon saw. */
  private crashes: PromptCrash[] = [];
  /** When this daemon last saw a sound answer to a request with a part, by part, milliseconds of the store's clock. */
  private readonly soundMs = new Map<string, number>();
  /** Latest crash under each part that no sound answer has followed, milliseconds of the store's clock. */
  private suspectedMs = new Map<string, number>();
  private quarantined: CrashingParts[] = [];
  /** Whether the rows were read. */
  private isLoaded = false;
  /** Whether rows have changed since the quarantined parts were computed. */
  private hasChanged = false;
  /** Whether the row has to be written once the rows were read. */
  private hasUnwritten = false;
  private readonly follower: TableFollower;
  private readonly publisher: RowPublisher;
  /** Ends the writes; undefined before the start. */
  private signal: AbortSignal | undefined;

  /**
   * @param options - identity of this daemon and the components that the quarantine uses
   */
  constructor(private readonly options: PromptQuarantineOptions) {
    const {store, clock, log} = options;
    this.publisher = new RowPublisher({
      clock,
      write: () => this.write(),
      getPauseMs: () => WRITE_PAUSE_MS,
      onFailure: (error) => this.recordFailure(error),
    });
    this.follower = new TableFollower({
      table: PROMPT_CRASH_TABLE,
      store,
      clock,
      log,
      listener: this,
      isSinglePartition: true,
      coalesceMs: COALESCE_MS,
    });
  }

  /** Follows the rows of all daemons until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    return this.follower.run(signal);
  }

  /** Gets the time since the store last answered, milliseconds; infinity before the first answer. */
  getAgeMs(): number {
    return this.follower.getAgeMs();
  }

  /** Whether requests with these prompt parts must be refused. */
  isQuarantined(parts: readonly string[]): boolean {
    if (this.quarantined.length === 0 || parts.length === 0) return false;
    const nowMs = this.options.store.now() ?? 0;
    return this.quarantined.some(
      (quarantined) =>
        nowMs - quarantined.lastCrashMs < QUARANTINE_MS &&
        quarantined.parts.every((part) => parts.includes(part)),
    );
  }

  /**
   * Records that a server crashed when it began to answer a request.
   *
   * @param request - hash of the request, and the prompt parts that it may share with others
   * @param serverId - the server
   * @param startedMs - when the request was sent to the server, monotonic milliseconds
   * @param endedMs - when the connection to the server broke, monotonic milliseconds
   */
  recordCrash(
    request: {fingerprint: string; parts: readonly string[]},
    serverId: string,
    startedMs: number,
    endedMs: number,
  ): void {
    const storeMs = this.options.store.now();
    const published = request.parts
      .filter(({length}) => length > 0 && length <= MAX_PART_CHARACTERS)
      .slice(0, MAX_PARTS_PER_CRASH);
    if (published.length === 0 || storeMs === undefined) return;
    const offsetMs = storeMs - this.options.clock.now();
    this.crashes.push({
      serverId,
      fingerprint: request.fingerprint,
      parts: published,
      startedMs: startedMs + offsetMs,
      endedMs: endedMs + offsetMs,
    });
    this.update();
    void this.publish();
  }

  /** Records that a server answered a request with these prompt parts without a crash. */
  recordSound(parts: readonly string[]): void {
    if (this.suspectedMs.size === 0) return;
    const storeMs = this.options.store.now();
    if (storeMs === undefined) return;
    const cleared = new Map<string, number>();
    for (const part of parts) {
      const crashMs = this.suspectedMs.get(part);
      if (crashMs === undefined) continue;
      cleared.set(part, crashMs);
      this.soundMs.set(part, storeMs);
    }
    if (cleared.size === 0) return;
    this.update();
    void this.publishSound(cleared);
  }

  /** {@inheritDoc TableListener.apply} */
  apply({key, value, version}: FollowedRow): void {
    this.hasChanged = true;
    if (value === undefined) {
      this.rows.delete(key);
      return;
    }
    const origin = {step: 'prompt_crashes.read', peer: key};
    const row = parseDocument(value, validatePromptCrashRow, origin);
    if (row.isOk()) {
      this.rows.set(key, {...row.value, version});
      return;
    }
    this.options.log.record(ServingEvent.DOCUMENT_REJECTED, {
      ...origin,
      reason: row.error.message,
    });
  }

  /** {@inheritDoc TableListener.finish} */
  finish(): void {
    if (!this.isLoaded) this.mergeOwnRow();
    if (this.hasChanged) this.update();
  }

  /** Keeps the crashes that the former process of this host has published. */
  private mergeOwnRow(): void {
    this.isLoaded = true;
    const row = this.rows.get(this.options.host);
    this.crashes.unshift(...(row?.crashes ?? []));
    for (const {part, atMs} of row?.sound ?? []) {
      if (!this.soundMs.has(part)) this.soundMs.set(part, atMs);
    }
    if (this.hasUnwritten) void this.publish();
  }

  /** Computes the quarantined parts from the rows of all daemons. */
  private update(): void {
    this.hasChanged = false;
    const oldestMs = this.computeOldestMs();
    const crashes = [...this.crashes];
    const soundMs = new Map(this.soundMs);
    for (const [host, row] of this.rows) {
      if (host !== this.options.host) crashes.push(...row.crashes);
      for (const {part, atMs} of row.sound) {
        soundMs.set(part, Math.max(atMs, soundMs.get(part) ?? atMs));
      }
    }
    const recent = crashes.filter(({endedMs}) => endedMs >= oldestMs);
    this.suspectedMs = computeSuspectedMs(recent, soundMs);
    this.dropSettled(recent);
    const before = this.quarantined;
    this.quarantined = findCrashingParts(recent, soundMs);
    this.recordChanges(before);
  }

  /** Drops this daemon's crashes that are old or whose parts are all sound, and the sound parts without a crash. */
  private dropSettled(recent: readonly PromptCrash[]): void {
    this.crashes = recent
      .filter((crash) => this.crashes.includes(crash))
      .filter(({parts}) => parts.some((part) => this.suspectedMs.has(part)))
      .slice(-MAX_CRASHES_PER_DAEMON);
    const crashedParts = new Set(recent.flatMap(({parts}) => parts));
    for (const part of this.soundMs.keys()) {
      if (!crashedParts.has(part)) this.soundMs.delete(part);
    }
  }

  private computeOldestMs(): number {
    return (this.options.store.now() ?? 0) - CRASH_RETENTION_MS;
  }

  private recordChanges(before: readonly CrashingParts[]): void {
    const known = new Set(before.map(({parts}) => parts.join()));
    for (const {parts, lastCrashMs} of this.quarantined) {
      if (known.delete(parts.join())) continue;
      this.options.log.record(ServingEvent.PARTS_QUARANTINED, {
        parts,
        lastCrashMs: Math.round(lastCrashMs),
      });
    }
    for (const parts of known) {
      this.options.log.record(ServingEvent.PARTS_RELEASED, {parts});
    }
  }

  /**
   * Publishes sound parts after a random delay, unless peers have published them
   * meanwhile.
   *
   * @param cleared - latest crash under each of the parts, milliseconds of the store's clock
   */
  private async publishSound(
    cleared: ReadonlyMap<string, number>,
  ): Promise<void> {
    const {clock, countDaemons, random} = this.options;
    await clock.sleep(countDaemons() * SOUND_DELAY_MS_PER_DAEMON * random());
    for (const [part, crashMs] of cleared) {
      if (!this.isPublishedByPeer(part, crashMs)) return this.publish();
    }
  }

  private isPublishedByPeer(part: string, crashMs: number): boolean {
    for (const [host, {sound}] of this.rows) {
      if (host === this.options.host) continue;
      if (sound.some((known) => known.part === part && known.atMs >= crashMs))
        return true;
    }
    return false;
  }

  /** Writes the row of this daemon until the store has its latest state. */
  private async publish(): Promise<void> {
    this.hasUnwritten = !this.isLoaded;
    if (!this.isLoaded) return;
    await this.publisher.publish(this.signal);
    await this.removeExpiredRows();
  }

  /** Writes the row of this daemon; gives the error when that failed. */
  private async write(): Promise<SavoryspurError | undefined> {
    const {host, store} = this.options;
    const row: PromptCrashRow = {
      crashes: this.crashes,
      sound: [...this.soundMs]
        .map(([part, atMs]) => ({part, atMs}))
        .sort((a, b) => a.atMs - b.atMs)
        .slice(-MAX_SOUND_PARTS_PER_DAEMON),
    };
    const name = {table: PROMPT_CRASH_TABLE, part: '', key: host};
    const value = Buffer.from(JSON.stringify(row));
    const result = await store.transact(
      {conditions: [], writes: [{...name, value}]},
      STORE_CALL_TIMEOUT_MS,
    );
    return result.isErr() ? result.error : undefined;
  }

  private recordFailure({origin, message}: SavoryspurError): void {
    this.options.log.record(ServingEvent.PROMPT_CRASHES_NOT_STORED, {
      step: origin.step,
      reason: message,
    });
  }

  /** Removes the rows of daemons that have published nothing for so long that their rows have no effect. */
  private async removeExpiredRows(): Promise<void> {
    const {host, store} = this.options;
    const oldestMs = this.computeOldestMs();
    for (const [key, row] of this.rows) {
      const times = [
        ...row.crashes.map(({endedMs}) => endedMs),
        ...row.sound.map(({atMs}) => atMs),
      ];
      if (key === host || times.some((ms) => ms >= oldestMs)) continue;
      const name = {table: PROMPT_CRASH_TABLE, part: '', key};
      const result = await store.transact(
        {
          conditions: [{...name, version: row.version}],
          writes: [],
          removals: [name],
        },
        STORE_CALL_TIMEOUT_MS,
      );
      if (result.isErr()) this.recordFailure(result.error);
    }
  }
}

/** Computes the latest crash under each part that no sound answer has followed. */
function computeSuspectedMs(
  crashes: readonly PromptCrash[],
  soundMs: ReadonlyMap<string, number>,
): Map<string, number> {
  const suspectedMs = new Map<string, number>();
  for (const {parts, endedMs} of crashes) {
    for (const part of parts) {
      if (endedMs <= (soundMs.get(part) ?? Number.NEGATIVE_INFINITY)) continue;
      suspectedMs.set(part, Math.max(endedMs, suspectedMs.get(part) ?? 0));
    }
  }
  return suspectedMs;
}
