/** Quarantine: requests that crashed servers and are refused by every host. */
import {
  type Clock,
  type EventLog,
  RoutingEvent,
  type SavoryspurError,
} from '@savoryspur/common';
import type {QuarantineRecord} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

/**
 * Maximum number of records that one host keeps; the oldest is dropped first.
 */
const MAX_KNOWN_RECORDS = 10_000;

/** Durable store of quarantined requests, which outlives all daemons. */
export interface QuarantineStore {
  /** Stores a record; idempotent. */
  store(record: QuarantineRecord): ResultAsync<void, SavoryspurError>;
  /** Lists the stored records. */
  list(): ResultAsync<QuarantineRecord[], SavoryspurError>;
  /**
   * Deletes the record of a fingerprint; called when the record has expired.
   */
  delete(fingerprint: string): ResultAsync<void, SavoryspurError>;
}

/**
 * A quarantined request and the monotonic time at which this host learned of
 * it.
 */
interface KnownRecord {
  record: QuarantineRecord;
  learnedMs: number;
}

/** Quarantined requests that this host knows. */
export class Quarantine {
  private readonly known = new Map<string, KnownRecord>();

  /**
   * @param clock - source of time
   * @param log - event log
   * @param termMs - time after which a record expires on this host,
   *     milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly termMs: number,
  ) {}

  /** Tells whether a request is quarantined, so that it is refused. */
  has(fingerprint: string): boolean {
    const entry = this.known.get(fingerprint);
    if (!entry) return false;
    return this.clock.now() - entry.learnedMs < this.termMs;
  }

  /** Counts the known records, expired ones included. */
  count(): number {
    return this.known.size;
  }

  /**
   * Adds a record.
   *
   * @returns whether the record is new to this host
   */
  add(record: QuarantineRecord): boolean {
    if (this.known.has(record.fingerprint)) return false;
    const [oldest] = this.known.keys();
    if (this.known.size >= MAX_KNOWN_RECORDS && oldest !== undefined) {
      this.known.delete(oldest);
    }
    this.known.set(record.fingerprint, {
      record,
      learnedMs: this.clock.now(),
    });
    this.log.record(RoutingEvent.REQUEST_QUARANTINED, {
      step: 'routing.convict',
      fingerprint: record.fingerprint,
      servers: record.servers,
    });
    return true;
  }

  /**
   * Lists the fingerprints of expired records. An expired record stays known,
   * without effect, until it is removed, so that reading it from the store
   * again does not renew it.
   */
  listExpired(): string[] {
    const expired: string[] = [];
    const nowMs = this.clock.now();
    for (const [fingerprint, entry] of this.known) {
      if (nowMs - entry.learnedMs >= this.termMs) expired.push(fingerprint);
    }
    return expired;
  }

  /** Removes the record of a fingerprint. */
  remove(fingerprint: string): void {
    this.known.delete(fingerprint);
  }
}
