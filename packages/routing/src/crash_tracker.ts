/**
 * Finds the request that crashes servers. All online requests in flight on a
 * server that crashes become suspects. No server runs two suspects at the same time,
 * so a second crash shows which request caused it. A broken connection alone is
 * not a crash: a crash check decides by the load report of the server.
 */
import type {Clock} from '@savoryspur/common';

/** Crashes with a request in flight after which the request is quarantined. */
const MIN_CRASHES_TO_QUARANTINE = 2;

/** A request that may crash servers. */
interface Suspect {
  /** Servers that crashed with the request in flight. */
  crashedServers: string[];
  /**
   * Whether the request was the only suspect in flight in one of the crashes.
   */
  wasOnlySuspect: boolean;
  /** Monotonic time at which this host learned of the suspect. */
  learnedMs: number;
}

/** Pending decision whether a broken connection was a crash of the server. */
export interface CrashCheck {
  serverId: string;
  /** Boot marker of the server before the connection broke. */
  bootMarker: string;
  /** Fingerprints of the requests that were in flight. */
  fingerprints: string[];
  /**
   * The only known suspect in flight, or else the only request in flight;
   * undefined if there are several.
   */
  onlySuspect: string | undefined;
  /** Monotonic time at which the check was started. */
  startedMs: number;
}

/** Result of a crash check. */
export enum CrashCheckResult {
  /** The server has restarted or refuses connections. */
  CRASHED = 'crashed',
  /** The server runs with the same boot marker. */
  RUNNING = 'running',
  /** The server could not be reached in time. */
  UNKNOWN = 'unknown',
}

/** Changes after a crash check that the fleet has to learn. */
export interface CrashCheckOutcome {
  /** Fingerprints of the requests in flight that are suspects now. */
  suspects: string[];
  /** The request to be quarantined and the servers it crashed. */
  quarantined?: {fingerprint: string; servers: string[]};
}

/** Suspects and running crash checks that one daemon knows. */
export class CrashTracker {
  private readonly suspects = new Map<string, Suspect>();
  private readonly blockedUntilMs = new Map<string, number>();
  private readonly crashChecks = new Map<string, CrashCheck>();

  /**
   * @param clock - source of time
   * @param suspectTermMs - time after which a suspect expires, milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly suspectTermMs: number,
  ) {}

  /** Counts the suspects. */
  count(): number {
    return this.suspects.size;
  }

  /**
   * Tells whether a request is a suspect, or was in flight on a server whose
   * crash check is running.
   */
  isSuspect(fingerprint: string): boolean {
    if (this.suspects.has(fingerprint)) return true;
    for (const check of this.crashChecks.values()) {
      if (check.fingerprints.includes(fingerprint)) return true;
    }
    return false;
  }

  /**
   * Tells whether a running crash check, on this or another host, may
   * quarantine a request; such a request gets no slot.
   */
  isBlocked(fingerprint: string): boolean {
    const untilMs = this.blockedUntilMs.get(fingerprint) ?? 0;
    if (untilMs > this.clock.now()) return true;
    let crashes = this.suspects.get(fingerprint)?.crashedServers.length ?? 0;
    for (const check of this.crashChecks.values()) {
      if (check.fingerprints.includes(fingerprint)) crashes += 1;
    }
    return crashes >= MIN_CRASHES_TO_QUARANTINE;
  }

  /**
   * Blocks a request that a crash check on another host may quarantine.
   *
   * @param fingerprint - fingerprint of the request
   * @param blockMs - time for which the request is blocked, milliseconds
   */
  addBlocked(fingerprint: string, blockMs: number): void {
    this.blockedUntilMs.set(fingerprint, this.clock.now() + blockMs);
  }

  /**
   * Adds a suspect that another host has reported, and unblocks the request.
   */
  addSuspect(fingerprint: string, serverId: string): void {
    this.blockedUntilMs.delete(fingerprint);
    const known = this.suspects.get(fingerprint);
    if (known) return;
    this.suspects.set(fingerprint, {
      crashedServers: [serverId],
      wasOnlySuspect: false,
      learnedMs: this.clock.now(),
    });
  }

  /**
   * Clears a suspect whose request completed.
   *
   * @returns whether the request was a suspect
   */
  clearSuspect(fingerprint: string): boolean {
    this.blockedUntilMs.delete(fingerprint);
    return this.suspects.delete(fingerprint);
  }

  /**
   * Starts a crash check on a server whose connection broke.
   *
   * @param serverId - the server
   * @param bootMarker - boot marker of the server before the connection broke
   * @param inFlight - fingerprints of the requests in flight on the server
   * @returns whether a new check was started; false if a check of the server is
   *     running
   */
  startCrashCheck(
    serverId: string,
    bootMarker: string,
    inFlight: string[],
  ): boolean {
    if (this.crashChecks.has(serverId)) return false;
    const fingerprints = [...new Set(inFlight)].filter((f) => f !== '');
    const knownSuspects = fingerprints.filter((f) => this.isSuspect(f));
    const onlyRequest = fingerprints.length === 1 ? fingerprints[0] : undefined;
    this.crashChecks.set(serverId, {
      serverId,
      bootMarker,
      fingerprints,
      onlySuspect: knownSuspects.length === 1 ? knownSuspects[0] : onlyRequest,
      startedMs: this.clock.now(),
    });
    return true;
  }

  /** Lists the running crash checks. */
  listCrashChecks(): CrashCheck[] {
    return [...this.crashChecks.values()];
  }

  /** Finds the running crash check of a server. */
  findCrashCheck(serverId: string): CrashCheck | undefined {
    return this.crashChecks.get(serverId);
  }

  /**
   * Ends the crash check of a server and updates the suspects by its result.
   */
  finishCrashCheck(
    serverId: string,
    result: CrashCheckResult,
  ): CrashCheckOutcome {
    const check = this.crashChecks.get(serverId);
    this.crashChecks.delete(serverId);
    if (!check) return {suspects: []};
    if (result !== CrashCheckResult.CRASHED) {
      return {suspects: check.fingerprints.filter((f) => this.suspects.has(f))};
    }
    const outcome: CrashCheckOutcome = {suspects: check.fingerprints};
    for (const fingerprint of check.fingerprints) {
      const suspect = this.recordCrash(fingerprint, check);
      const isQuarantined =
        suspect.wasOnlySuspect &&
        suspect.crashedServers.length >= MIN_CRASHES_TO_QUARANTINE;
      if (!isQuarantined) continue;
      this.suspects.delete(fingerprint);
      outcome.quarantined = {fingerprint, servers: suspect.crashedServers};
    }
    return outcome;
  }

  /** Drops expired suspects and expired blocks. */
  expire(): void {
    const nowMs = this.clock.now();
    for (const [fingerprint, untilMs] of this.blockedUntilMs) {
      if (nowMs >= untilMs) this.blockedUntilMs.delete(fingerprint);
    }
    for (const [fingerprint, suspect] of this.suspects) {
      if (nowMs - suspect.learnedMs >= this.suspectTermMs) {
        this.suspects.delete(fingerprint);
      }
    }
  }

  /** Counts a crash against a request that was in flight. */
  private recordCrash(fingerprint: string, check: CrashCheck): Suspect {
    const known = this.suspects.get(fingerprint);
    const suspect = known ?? {
      crashedServers: [],
      wasOnlySuspect: false,
      learnedMs: this.clock.now(),
    };
    suspect.crashedServers.push(check.serverId);
    suspect.wasOnlySuspect ||= check.onlySuspect === fingerprint;
    this.suspects.set(fingerprint, suspect);
    return suspect;
  }
}
