/**
 * Quarantines requests that crash backend servers: once several servers have
 * crashed while they ran a request, repeats of it are refused.
 */
import type {Clock} from '@savoryspur/common';
import {createHash} from 'node:crypto';

/** Number of different servers that must crash under a request before it is quarantined. */
const MIN_CRASHED_SERVERS = 2;

/** Time for which a crash counts against a request and is published to peers, milliseconds. */
const CRASH_RETENTION_MS = 60_000;

/** Maximum number of its own crash reports that a daemon keeps and publishes. */
const MAX_PUBLISHED_REPORTS = 32;

/** Report that a server crashed while it ran a request, as published to peers. */
export interface CrashReport {
  /** Hash of the request, see {@link RequestIdentity}. */
  fingerprint: string;
  serverId: string;
}

/** Fields by which repeats of a request are recognized. */
export interface RequestIdentity {
  workspace: string | undefined;
  /** Path with query. */
  path: string;
  body: Buffer;
}

/** Request under which at least one server crashed. */
interface SuspectRequest {
  /** Servers that crashed while they ran the request. */
  serverIds: Set<string>;
  /** When the last of these servers was added, monotonic milliseconds. */
  lastCrashMs: number;
}

/** Quarantined requests, by the crashes that this daemon saw and that its peers published. */
export class RequestQuarantine {
  private readonly ownReports: Array<CrashReport & {seenMs: number}> = [];
  private readonly suspects = new Map<string, SuspectRequest>();

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  /** Lists the newest crashes that this daemon itself saw, to publish them to its peers. */
  listOwnReports(): CrashReport[] {
    const oldestMs = this.clock.now() - CRASH_RETENTION_MS;
    return this.ownReports
      .filter((report) => report.seenMs >= oldestMs)
      .slice(-MAX_PUBLISHED_REPORTS)
      .map(({fingerprint, serverId}) => ({fingerprint, serverId}));
  }

  /**
   * Records that a server crashed while it ran a request.
   *
   * @returns whether the request is quarantined now
   */
  recordCrash(request: RequestIdentity, serverId: string): boolean {
    const report = {fingerprint: computeFingerprint(request), serverId};
    this.ownReports.push({...report, seenMs: this.clock.now()});
    if (this.ownReports.length > MAX_PUBLISHED_REPORTS) this.ownReports.shift();
    this.mergeReports([report]);
    return this.isQuarantined(request);
  }

  /**
   * Records that a request succeeded, which shows that its content does not
   * crash servers. Many requests may have the same content; the first one that
   * succeeds deletes all crashes that this daemon knows of for that content.
   */
  recordSuccess(request: RequestIdentity): void {
    if (this.ownReports.length === 0 && this.suspects.size === 0) return;
    const fingerprint = computeFingerprint(request);
    this.suspects.delete(fingerprint);
    const kept = this.ownReports.filter(
      (report) => report.fingerprint !== fingerprint,
    );
    this.ownReports.splice(0, this.ownReports.length, ...kept);
  }

  /**
   * Adds crash reports to the suspected requests.
   *
   * @param reports - reports of this daemon or of a peer; a repeated report does
   *     not extend the quarantine
   */
  mergeReports(reports: readonly CrashReport[]): void {
    for (const {fingerprint, serverId} of reports) {
      const suspect = this.suspects.get(fingerprint) ?? {
        serverIds: new Set<string>(),
        lastCrashMs: 0,
      };
      if (!suspect.serverIds.has(serverId))
        suspect.lastCrashMs = this.clock.now();
      suspect.serverIds.add(serverId);
      this.suspects.set(fingerprint, suspect);
    }
  }

  /** Whether a request is quarantined, so that it must be refused. */
  isQuarantined(request: RequestIdentity): boolean {
    if (this.suspects.size === 0) return false;
    const suspect = this.suspects.get(computeFingerprint(request));
    if (!suspect || suspect.serverIds.size < MIN_CRASHED_SERVERS) return false;
    return this.clock.now() - suspect.lastCrashMs < CRASH_RETENTION_MS;
  }
}

/** Computes the hash by which repeats of a request are recognized. */
export function computeFingerprint(request: RequestIdentity): string {
  return createHash('sha1')
    .update(`${request.workspace ?? ''}\u0000${request.path}\u0000`)
    .update(request.body)
    .digest('base64url');
}
