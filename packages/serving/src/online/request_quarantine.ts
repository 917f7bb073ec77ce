/** Remembers requests under which servers broke off, and refuses repeats. */
import type {Clock} from '@savoryspur/common';
import {createHash} from 'node:crypto';

/** Different servers that must break off before a request is refused. */
const SERVERS_TO_QUARANTINE = 2;

/** Time for which a crash is remembered, milliseconds. */
const REMEMBER_MS = 60_000;

/** Most crashes of its own that a daemon publishes. */
const MAX_PUBLISHED = 32;

/** A server that broke off under a request. */
export interface CrashReport {
  fingerprint: string;
  serverId: string;
}

/** Request whose repeats are recognized. */
export interface RequestIdentity {
  workspace: string | undefined;
  path: string;
  body: Buffer;
}

/** Servers that broke off, by request. */
interface CrashEntry {
  servers: Set<string>;
  lastMs: number;
}

/** Crashes that this daemon saw, and those that its peers published. */
export class RequestQuarantine {
  private readonly own: Array<CrashReport & {seenMs: number}> = [];
  private readonly entries = new Map<string, CrashEntry>();

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  /** Lists the newest crashes that this daemon saw, for its peers. */
  list(): CrashReport[] {
    const oldestMs = this.clock.now() - REMEMBER_MS;
    return this.own
      .filter((sign) => sign.seenMs >= oldestMs)
      .slice(-MAX_PUBLISHED)
      .map(({fingerprint, serverId}) => ({fingerprint, serverId}));
  }

  /**
   * Records that a server broke off while it ran a request.
   *
   * @returns whether repeats of the request are refused from now on
   */
  record(subject: RequestIdentity, serverId: string): boolean {
    const sign = {fingerprint: computeFingerprint(subject), serverId};
    this.own.push({...sign, seenMs: this.clock.now()});
    if (this.own.length > MAX_PUBLISHED) this.own.shift();
    this.merge([sign]);
    return this.isQuarantined(subject);
  }

  /**
   * Records that a request ran to its end, so that it is not what broke servers.
   * Requests with the same content may be many; one that succeeds clears what
   * this daemon saw of them.
   */
  recordSuccess(subject: RequestIdentity): void {
    if (this.own.length === 0 && this.entries.size === 0) return;
    const fingerprint = computeFingerprint(subject);
    this.entries.delete(fingerprint);
    const kept = this.own.filter((sign) => sign.fingerprint !== fingerprint);
    this.own.splice(0, this.own.length, ...kept);
  }

  /** Takes in crashes that a peer saw. */
  merge(signs: readonly CrashReport[]): void {
    for (const {fingerprint, serverId} of signs) {
      const entry = this.entries.get(fingerprint) ?? {
        servers: new Set<string>(),
        lastMs: 0,
      };
      if (!entry.servers.has(serverId)) entry.lastMs = this.clock.now();
      entry.servers.add(serverId);
      this.entries.set(fingerprint, entry);
    }
  }

  /** Whether a request is refused. */
  isQuarantined(subject: RequestIdentity): boolean {
    if (this.entries.size === 0) return false;
    const entry = this.entries.get(computeFingerprint(subject));
    if (!entry || entry.servers.size < SERVERS_TO_QUARANTINE) return false;
    return this.clock.now() - entry.lastMs < REMEMBER_MS;
  }
}

function computeFingerprint(subject: RequestIdentity): string {
  return createHash('sha1')
    .update(`${subject.workspace ?? ''}\u0000${subject.path}\u0000`)
    .update(subject.body)
    .digest('base64url');
}
