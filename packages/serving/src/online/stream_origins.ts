/**
 * Remembers by which software version each stream was begun, so that a stream
 * goes on at that version only. While several versions of a service are listed,
 * each daemon keeps its streams in a row of the store, since all daemons may be
 * killed at once.
 */
import {
  type Clock,
  type EventLog,
  parseDocument,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type StreamGroup,
  type StreamOrigin,
  type StreamOriginRow,
  validateStreamOriginRow,
} from '@savoryspur/schema';
import {createHash} from 'node:crypto';
import {ServerReadOutcome, type ServiceRegistry} from '../service_registry.js';
import {readRows} from '../store/read_rows.js';
import {RowPublisher} from '../store/row_publisher.js';
import type {RowStore, TableRow} from '../store/row_store.js';
import {SharedRead} from '../store/shared_read.js';

/** Table of the rows of all daemons. */
const STREAM_ORIGIN_TABLE = 'stream_origins';

/** Number of partitions that the rows are distributed over: 410 daemons write 500 times a second in all, a partition takes 200. */
const PARTITION_COUNT = 4;

/** Time after the last listing of a version in which streams that it began may be taken up, milliseconds: the longest time that a caller without a deadline waits. */
const VERSION_RETENTION_MS = 60_000;

/** Time after which a row of another daemon is removed, milliseconds. */
const ROW_RETENTION_MS = 600_000;

/** Time for which a stream is kept after its end or its deadline, milliseconds: the end may not have reached the caller. */
const END_RETENTION_MS = 1000;

/** Shortest pause between two writes of one daemon and between two reads for take-ups, milliseconds. */
const MIN_PAUSE_MS = 50;

/** Pause between two writes of one daemon, for each daemon in the fleet, milliseconds: at most 500 writes a second in all. */
const PAUSE_MS_PER_DAEMON = 2;

/** Timeout of one write, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 800;

/** Longest time that a take-up waits for the rows of the other daemons, beside the pause between two reads, milliseconds. */
const LOOKUP_TIMEOUT_MS = 500;

/** Pause after a failed read at the start, milliseconds. */
const LOAD_RETRY_MS = 200;

/** Interval at which old streams are dropped, milliseconds. */
const SWEEP_INTERVAL_MS = 1000;

/** Maximum number of streams in a row, which keeps it below the size that the store accepts; the latest ones are kept. */
const MAX_STREAMS_PER_ROW = 4000;

/** Bytes of the hash of an attempt id: two of 80,000 streams that may be taken up at a time share a hash once in 100,000 times. */
const ID_HASH_BYTES = 6;

/** Characters of such a hash in base64url. */
const ID_HASH_CHARACTERS = 8;

/** Result of a look-up: the origin, that any server may continue the stream, or that the origin can't be known. */
export type OriginLookup =
  {kind: 'known'; origin: StreamOrigin} | {kind: 'any'} | {kind: 'unknown'};

/** Components that the directory uses. */
export interface StreamOriginsOptions {
  /** Host of this daemon, which is the key of its row. */
  host: string;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  registry: Pick<ServiceRegistry<unknown>, 'listVersions' | 'readVersions'>;
  /** Whether the store is away for other daemons too, so that none of them learns of a new version. */
  isOutageShared: () => boolean;
  /** Counts the daemons of the fleet. */
  countDaemons: () => number;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Stream that this daemon has begun or continued. */
interface KnownStream {
  origin: StreamOrigin;
  /** Until when the stream may be taken up, monotonic milliseconds. */
  untilMs: number;
}

/** Row of a daemon as it was read. */
interface ReadRow extends StreamOriginRow {
  host: string;
  part: string;
  version: number;
}

/** Software versions of streams, by the id of the attempt that brought the first event. */
export class StreamOrigins {
  /** Streams of this daemon by the hash of the attempt id, the oldest first. */
  private readonly streams = new Map<string, KnownStream>();
  /** Rows of all daemons as they were last read. */
  private rows: ReadRow[] = [];
  /** Whether the rows were read since the start. */
  private isLoaded = false;
  private hasUnloadedChanges = false;
  /** Services of which several versions were listed lately. */
  private mixedServices: ReadonlySet<string> = new Set();
  /** Reads the rows of all daemons; gives false when that failed. */
  private readonly rowRead: SharedRead<boolean>;
  private readonly versionRead: SharedRead<ServerReadOutcome>;
  private readonly publisher: RowPublisher;
  /** Ends the writes; undefined before the start. */
  private signal: AbortSignal | undefined;

  /**
   * @param options - identity of this daemon and the components that the directory uses
   */
  constructor(private readonly options: StreamOriginsOptions) {
    this.publisher = new RowPublisher({
      clock: options.clock,
      write: () => this.write(),
      getPauseMs: () => this.computePauseMs(),
      onFailure: (error) => this.recordFailure(error),
    });
    const {clock, registry} = options;
    this.rowRead = new SharedRead({
      clock,
      read: () => this.readAll(),
      getPauseMs: () => this.computePauseMs(),
    });
    this.versionRead = new SharedRead({
      clock,
      read: () => registry.readVersions(),
      getPauseMs: () => 0,
    });
  }

  /** Reads the rows of the former processes, then drops old streams until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log} = this.options;
    this.signal = signal;
    while (!signal.aborted && !(await this.rowRead.readNow())) {
      await clock.sleep(LOAD_RETRY_MS, signal);
    }
    if (signal.aborted) return;
    this.mergeOwnRow();
    this.isLoaded = true;
    this.updateVersions();
    log.record(ServingEvent.STREAM_ORIGINS_LOADED, {
      rows: this.rows.length,
      streams: this.streams.size,
    });
    if (this.hasUnloadedChanges) this.publish();
    await this.removeExpiredRows();
    while (!signal.aborted) {
      this.dropExpired();
      this.updateVersions();
      await clock.sleep(SWEEP_INTERVAL_MS, signal);
    }
  }

  /**
   * Records which servers began a stream.
   *
   * @param attemptId - id of the attempt that brought the first event
   * @param origin - service and software version of the server
   * @param deadlineMs - when the caller stops waiting, monotonic milliseconds
   */
  record(attemptId: string, origin: StreamOrigin, deadlineMs: number): void {
    const id = hashAttemptId(attemptId);
    const untilMs = deadlineMs + END_RETENTION_MS;
    this.streams.delete(id);
    this.streams.set(id, {origin, untilMs});
    if (this.hasSeveralVersions(origin.service)) this.publish();
  }

  /** Records that the caller was sent the end of a stream. */
  recordEnd(attemptId: string): void {
    const stream = this.streams.get(hashAttemptId(attemptId));
    if (!stream) return;
    stream.untilMs = this.options.clock.now() + END_RETENTION_MS;
  }

  /** Whether servers of several software versions of a service may have begun the streams that can be taken up now. */
  hasSeveralVersions(service: string): boolean {
    return this.mixedServices.has(service);
  }

  /** Finds the services with several software versions; publishes the streams of this daemon when there is a new one. */
  updateVersions(): void {
    const former = this.mixedServices;
    this.mixedServices = this.listMixedServices();
    for (const service of this.mixedServices) {
      if (former.has(service)) continue;
      void this.publishLater();
      return;
    }
  }

  /**
   * Finds which servers began a stream.
   *
   * @param attemptId - id of the attempt that brought the first event; undefined
   *     when the caller does not name it
   * @param services - services that may continue the stream
   */
  async find(
    attemptId: string | undefined,
    services: readonly string[],
  ): Promise<OriginLookup> {
    const id = attemptId === undefined ? '' : hashAttemptId(attemptId);
    const known = this.findKnown(id);
    if (known) return {kind: 'known', origin: known};
    const isMixed = (): boolean =>
      !this.isLoaded ||
      services.some((service) => this.hasSeveralVersions(service));
    const outcome = isMixed()
      ? ServerReadOutcome.CHANGED
      : await this.readVersions();
    if (outcome === ServerReadOutcome.UNCHANGED && !isMixed()) {
      return {kind: 'any'};
    }
    const isRead = await this.waitFor(
      this.rowRead.request(),
      LOOKUP_TIMEOUT_MS + this.computePauseMs(),
    );
    const read = this.findKnown(id);
    if (read) return {kind: 'known', origin: read};
    const isCertain = isRead && outcome === ServerReadOutcome.CHANGED;
    return {kind: isCertain && !isMixed() ? 'any' : 'unknown'};
  }

  /**
   * Reads the versions that other daemons may have called: this daemon may have
   * been suspended or cut off from the store while servers of a new version were
   * registered. In an outage that other daemons share, none learns of one.
   */
  private async readVersions(): Promise<ServerReadOutcome> {
    const outcome =
      (await this.waitFor(this.versionRead.request(), LOOKUP_TIMEOUT_MS)) ??
      ServerReadOutcome.FAILED;
    this.updateVersions();
    return outcome === ServerReadOutcome.FAILED && this.options.isOutageShared()
      ? ServerReadOutcome.UNCHANGED
      : outcome;
  }

  /** Waits for a read; gives undefined when it takes too long. */
  private async waitFor<T>(
    read: Promise<T>,
    timeoutMs: number,
  ): Promise<T | undefined> {
    const expired = this.options.clock.sleep(timeoutMs).then(() => undefined);
    return Promise.race([read, expired]);
  }

  private findKnown(id: string): StreamOrigin | undefined {
    if (id === '') return undefined;
    const own = this.streams.get(id);
    if (own) return own.origin;
    for (const {streams} of this.rows) {
      for (const group of streams) {
        if (listIds(group).includes(id)) return group.origin;
      }
    }
    return undefined;
  }

  /** Lists the services of which several software versions were listed lately, as this daemon and the daemons whose rows it has read saw them. */
  private listMixedServices(): Set<string> {
    const {clock, store, registry} = this.options;
    const oldestMs = clock.now() - VERSION_RETENTION_MS;
    const oldestStoreMs = (store.now() ?? 0) - VERSION_RETENTION_MS;
    const origins: StreamOrigin[] = [];
    for (const {service, softwareVersion, listedMs} of registry.listVersions())
      if (listedMs >= oldestMs) origins.push({service, softwareVersion});
    for (const {versions} of this.rows) {
      for (const {origin, listedMs} of versions)
        if (listedMs >= oldestStoreMs) origins.push(origin);
    }
    const mixed = new Set<string>();
    const versions = new Map<string, string>();
    for (const {service, softwareVersion} of origins) {
      const other = versions.get(service) ?? softwareVersion;
      if (other !== softwareVersion) mixed.add(service);
      versions.set(service, softwareVersion);
    }
    return mixed;
  }

  private computePauseMs(): number {
    const fleetPauseMs = this.options.countDaemons() * PAUSE_MS_PER_DAEMON;
    return Math.max(MIN_PAUSE_MS, fleetPauseMs);
  }

  private publish(): void {
    // A write before the row of the former process was read would erase it.
    this.hasUnloadedChanges = !this.isLoaded;
    if (this.isLoaded) void this.publisher.publish(this.signal);
  }

  /** Publishes after a random delay, since all daemons see a new version at the same moment. */
  private async publishLater(): Promise<void> {
    const {clock, random} = this.options;
    await clock.sleep(this.computePauseMs() * random(), this.signal);
    this.publish();
  }

  private async write(): Promise<SavoryspurError | undefined> {
    const {store, host, clock, registry} = this.options;
    const storeMs = store.now() ?? 0;
    const offsetMs = storeMs - clock.now();
    const row: StreamOriginRow = {
      writtenMs: storeMs,
      versions: registry
        .listVersions()
        .map(({service, softwareVersion, listedMs}) => ({
          origin: {service, softwareVersion},
          listedMs: listedMs + offsetMs,
        }))
        .filter(({listedMs}) => listedMs >= storeMs - VERSION_RETENTION_MS),
      streams: this.collectStreams(),
    };
    const name = {
      table: STREAM_ORIGIN_TABLE,
      part: computePartition(host),
      key: host,
    };
    const value = Buffer.from(JSON.stringify(row));
    const result = await store.transact(
      {conditions: [], writes: [{...name, value}]},
      STORE_CALL_TIMEOUT_MS,
    );
    return result.isErr() ? result.error : undefined;
  }

  private collectStreams(): StreamGroup[] {
    this.dropExpired();
    const groups = new Map<string, StreamGroup>();
    const latest = [...this.streams].slice(-MAX_STREAMS_PER_ROW);
    for (const [id, {origin}] of latest) {
      const name = `${origin.service} ${origin.softwareVersion}`;
      const group = groups.get(name) ?? {origin, ids: ''};
      group.ids += id;
      groups.set(name, group);
    }
    return [...groups.values()];
  }

  private dropExpired(): void {
    const nowMs = this.options.clock.now();
    for (const [id, {untilMs}] of this.streams) {
      if (untilMs < nowMs) this.streams.delete(id);
    }
  }

  /** Keeps the streams of the former process of this host. */
  private mergeOwnRow(): void {
    const {host, clock} = this.options;
    const untilMs = clock.now() + VERSION_RETENTION_MS;
    const row = this.rows.find((known) => known.host === host);
    for (const group of row?.streams ?? []) {
      for (const id of listIds(group)) {
        if (this.streams.has(id)) continue;
        this.streams.set(id, {origin: group.origin, untilMs});
      }
    }
  }

  /** Reads the rows of all daemons; gives false when that failed. */
  private async readAll(): Promise<boolean> {
    const {store} = this.options;
    const rows: TableRow[] = [];
    const parts = Array.from({length: PARTITION_COUNT}, (none, part) =>
      readRows(store, STREAM_ORIGIN_TABLE, String(part), rows),
    );
    for (const result of await Promise.all(parts)) {
      if (result.isOk()) continue;
      this.recordFailure(result.error);
      return false;
    }
    this.rows = rows.flatMap((row) => this.parseRow(row));
    this.updateVersions();
    return true;
  }

  private parseRow({key, part, version, value}: TableRow): ReadRow[] {
    const origin = {step: 'stream_origins.read', peer: key};
    const row = parseDocument(value, validateStreamOriginRow, origin);
    if (row.isOk()) return [{...row.value, host: key, part, version}];
    this.options.log.record(ServingEvent.DOCUMENT_REJECTED, {
      ...origin,
      reason: row.error.message,
    });
    return [];
  }

  /** Removes the rows of daemons that have not written for long. */
  private async removeExpiredRows(): Promise<void> {
    const {store} = this.options;
    const oldestMs = (store.now() ?? 0) - ROW_RETENTION_MS;
    for (const {host, part, version, writtenMs} of this.rows) {
      if (writtenMs >= oldestMs) continue;
      const name = {table: STREAM_ORIGIN_TABLE, part, key: host};
      const result = await store.transact(
        {conditions: [{...name, version}], writes: [], removals: [name]},
        STORE_CALL_TIMEOUT_MS,
      );
      if (result.isErr()) this.recordFailure(result.error);
    }
  }

  private recordFailure({origin, message}: SavoryspurError): void {
    this.options.log.record(ServingEvent.STREAM_ORIGINS_NOT_STORED, {
      step: origin.step,
      reason: message,
    });
  }
}

function hashAttemptId(attemptId: string): string {
  return createHash('sha256')
    .update(attemptId)
    .digest()
    .subarray(0, ID_HASH_BYTES)
    .toString('base64url');
}

/** Splits the ids of a group. */
function listIds({ids}: StreamGroup): string[] {
  const list: string[] = [];
  for (let at = 0; at < ids.length; at += ID_HASH_CHARACTERS) {
    list.push(ids.slice(at, at + ID_HASH_CHARACTERS));
  }
  return list;
}

/** Computes the partition of the row of a host. */
function computePartition(host: string): string {
  const digest = createHash('sha256').update(host).digest();
  return String(digest.readUInt16BE(0) % PARTITION_COUNT);
}
