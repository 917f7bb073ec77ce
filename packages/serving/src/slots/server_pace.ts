/**
 * Limits the concurrency of servers that have just started or recovered, until
 * their calls show that they serve as the others do. The limit only moves
 * requests to other servers with free slots; it never refuses one or makes it
 * wait. Performs no I/O; times are monotonic milliseconds.
 */
import {computeBackoffMs} from '@savoryspur/common';

/** First limit of a server, as a fraction of its slots. */
const FIRST_LIMIT_FRACTION = 0.25;

/** Logarithm of the time relative to the norm above which a call is slow: servers of one service differ by 0.55 to 1.2, a factor of 1.8 below the median. */
const SLOW_LOG_RATIO = Math.log(2);

/** Factor by which a slow call lowers the limit, at most once for the calls that were granted before. */
const SLOW_FACTOR = 0.7;

/** Time without a failure in which the limit reaches all slots even if calls stay slow, milliseconds: some servers become warm only by requests. */
const RAMP_MS = 8000;

/** Longest ramp of a server that fails again and again, as a multiple of {@link RAMP_MS}. */
const MAX_RAMP_FACTOR = 4;

/** Time after the end of the pace within which a failure lengthens the next ramp, milliseconds. */
const RELAPSE_MS = 30_000;

/** Successes in a row after which the pace can end. */
const MIN_SUCCESSES = 3;

/** Time without calls after which a server without a success is tried with any request, milliseconds. */
const TRIAL_WAIT_MS = 500;

/** Time until the next trial after a failed one, milliseconds; doubles up to {@link MAX_TRIAL_BACKOFF_MS}. */
const TRIAL_BACKOFF_MS = 100;

/** Longest time until the next trial, milliseconds. */
const MAX_TRIAL_BACKOFF_MS = 3000;

/** Load of a server at its limit, as a fraction of its slots: more than all else together makes a difference, so that any other server with a free slot comes first. */
const LIMITED_LOAD = 3;

/** Load that is subtracted from a server on trial for a request that may run more than once, as a fraction of its slots: more than the failures that the server had (1.5) and another zone (0.35) count, or it would stay idle. */
const TRIAL_BONUS = 2;

/** Successes in a row after a failure until which a server is on trial: its failure rate has decayed by then. */
const TRIAL_SUCCESSES = 12;

/** Fraction of the other servers whose latest call failed above which a failure says nothing about a paced server. */
const COMMON_FAILURE_FRACTION = 0.3;

/** Holders whose latest failure is kept. */
const MAX_FAILING_HOLDERS = 1024;

/** Why a server is paced. */
export enum PaceCause {
  STARTED = 'started',
  SUSPENDED = 'suspended',
}

/** How a call to a server ended, as far as the pace is concerned. */
export enum PacedCall {
  SUCCEEDED = 'succeeded',
  /** The server refused the call because it had no free slot. */
  REFUSED = 'refused',
  FAILED = 'failed',
}

/** Call that has ended. */
export interface EndedCall {
  serverId: string;
  holder: string;
  result: PacedCall;
  grantedMs: number;
  /** Slots of the server in use after the grant. */
  usedAtGrant: number;
  /** Logarithm of its time relative to the norm; undefined without a norm. */
  logRatio: number | undefined;
}

/** Beginning or end of a pace. */
export interface PaceChange {
  serverId: string;
  cause: PaceCause;
  isBegin: boolean;
  /** Time since the pace began, milliseconds. */
  durationMs: number;
}

/** Pace of one server. */
interface Pace {
  cause: PaceCause;
  beganMs: number;
  /** Latest failure, or the beginning. */
  rampSinceMs: number;
  rampMs: number;
  limit: number;
  /** Successes in a row. */
  successes: number;
  /** Whether calls failed before or during the pace. */
  hasFailed: boolean;
  /** Failed trials in a row. */
  failures: number;
  /** Earliest time of the next trial. */
  nextTrialMs: number;
  /** Time since which the server waits for a trial. */
  idleSinceMs: number;
  /** Calls that were granted before don't lower the limit again. */
  loweredMs: number;
}

/** Paces of the servers of one pool. */
export class ServerPace {
  private readonly paces = new Map<string, Pace>();
  /** Slots by server. */
  private slots: ReadonlyMap<string, number> = new Map();
  /** Relapses of servers whose pace has ended, with the time of the end. */
  private readonly ended = new Map<string, {endedMs: number; ramp: number}>();
  /** Server at which the latest call of a holder failed. */
  private readonly failingHolders = new Map<string, string>();
  /** Servers that aren't paced whose latest call failed. */
  private readonly failingServers = new Set<string>();

  /**
   * @param onChange - called when a pace begins or ends
   */
  constructor(private readonly onChange: (change: PaceChange) => void) {}

  /** Counts the paced servers. */
  count(): number {
    return this.paces.size;
  }

  /** Whether a server is paced. */
  isPaced(serverId: string): boolean {
    return this.paces.has(serverId);
  }

  /** Replaces the servers, with their slots; ends the paces whose time has passed. */
  setServers(slots: ReadonlyMap<string, number>, nowMs: number): void {
    this.slots = slots;
    for (const id of this.ended.keys()) {
      if (!slots.has(id)) this.ended.delete(id);
    }
    for (const id of this.failingServers) {
      if (!slots.has(id)) this.failingServers.delete(id);
    }
    for (const [id, pace] of this.paces) {
      if (!slots.has(id)) this.paces.delete(id);
      else this.endIfShown(id, pace, nowMs);
    }
  }

  /** Begins the pace of a server; one that is paced already starts again when it has failed. */
  begin(serverId: string, cause: PaceCause, nowMs: number): void {
    const slots = this.slots.get(serverId);
    if (slots === undefined) return;
    const known = this.paces.get(serverId);
    if (known && cause === PaceCause.SUSPENDED) return;
    const ended = this.ended.get(serverId);
    const isRelapse = ended && nowMs - ended.endedMs < RELAPSE_MS;
    const ramp = isRelapse ? Math.min(MAX_RAMP_FACTOR, ended.ramp * 2) : 1;
    this.failingServers.delete(serverId);
    this.paces.set(serverId, {
      cause,
      beganMs: nowMs,
      rampSinceMs: nowMs,
      rampMs: ramp * RAMP_MS,
      limit: isRelapse ? 1 : computeFirstLimit(slots),
      successes: 0,
      hasFailed: cause === PaceCause.SUSPENDED,
      failures: 0,
      nextTrialMs: nowMs,
      idleSinceMs: nowMs,
      loweredMs: nowMs,
    });
    this.onChange({serverId, cause, isBegin: true, durationMs: 0});
  }

  /**
   * Gets the load that the pace of a server counts as.
   *
   * @param serverId - the server
   * @param used - its slots in use
   * @param isRetryable - whether the request may run more than once
   * @param nowMs - current time
   * @returns fraction of its slots; negative for a server that waits for a trial
   */
  getLoadPenalty(
    serverId: string,
    used: number,
    isRetryable: boolean,
    nowMs: number,
  ): number {
    const pace = this.paces.get(serverId);
    if (!pace || !this.hasPeers()) return 0;
    const slots = this.slots.get(serverId) ?? 1;
    const excess = used + 1 - computeLimit(pace, slots, nowMs);
    if (excess > 0) return LIMITED_LOAD + excess / slots;
    if (pace.successes > 0) {
      const isOnTrial =
        pace.hasFailed &&
        pace.successes < TRIAL_SUCCESSES &&
        used < computeFirstLimit(slots);
      return isOnTrial && isRetryable ? -TRIAL_BONUS : 0;
    }
    if (nowMs < pace.nextTrialMs) return LIMITED_LOAD + 1;
    if (isRetryable) return -TRIAL_BONUS;
    return nowMs - pace.idleSinceMs < TRIAL_WAIT_MS ? LIMITED_LOAD : 0;
  }

  /** Records a granted slot. */
  recordGrant(serverId: string, nowMs: number): void {
    const pace = this.paces.get(serverId);
    if (pace) pace.idleSinceMs = nowMs;
  }

  /** Records a call that has ended. */
  recordCall(call: EndedCall, nowMs: number): void {
    const {serverId, holder, result} = call;
    const pace = this.paces.get(serverId);
    const isFailed = result === PacedCall.FAILED;
    if (!pace && isFailed) this.failingServers.add(serverId);
    else this.failingServers.delete(serverId);
    const isHolderDoubtful = this.updateHolder(holder, serverId, isFailed);
    if (!pace) return;
    if (isFailed) {
      if (!isHolderDoubtful && !this.isFailureCommon()) {
        recordFailure(pace, call, nowMs);
      }
      return;
    }
    const isSlow =
      result === PacedCall.REFUSED || (call.logRatio ?? 0) > SLOW_LOG_RATIO;
    if (result === PacedCall.SUCCEEDED && call.grantedMs >= pace.rampSinceMs) {
      pace.successes += 1;
      pace.failures = 0;
    }
    if (isSlow) adjustLimit(pace, call, nowMs);
    else if (pace.successes > 0 && call.usedAtGrant * 2 >= pace.limit)
      // A server that failed again soon after its last pace has to show more.
      pace.limit += RAMP_MS / pace.rampMs;
    this.endIfShown(serverId, pace, nowMs);
  }

  /** Records whether the latest call of a holder failed; returns whether its calls also fail at another server, so that its network may be the reason. */
  private updateHolder(
    holder: string,
    serverId: string,
    isFailed: boolean,
  ): boolean {
    if (!isFailed) {
      this.failingHolders.delete(holder);
      return false;
    }
    const failingAt = this.failingHolders.get(holder);
    if (failingAt !== undefined) return failingAt !== serverId;
    if (this.failingHolders.size >= MAX_FAILING_HOLDERS) {
      this.failingHolders.clear();
    }
    this.failingHolders.set(holder, serverId);
    return false;
  }

  private isFailureCommon(): boolean {
    const others = this.slots.size - this.paces.size;
    return this.failingServers.size > others * COMMON_FAILURE_FRACTION;
  }

  /** Whether enough servers aren't paced to compare with: after a start of the fleet there are none. */
  private hasPeers(): boolean {
    return this.paces.size * 2 <= this.slots.size;
  }

  private endIfShown(serverId: string, pace: Pace, nowMs: number): void {
    const slots = this.slots.get(serverId) ?? 0;
    if (pace.successes < (MIN_SUCCESSES * pace.rampMs) / RAMP_MS) return;
    if (computeLimit(pace, slots, nowMs) < slots) return;
    this.paces.delete(serverId);
    this.ended.set(serverId, {endedMs: nowMs, ramp: pace.rampMs / RAMP_MS});
    const {cause, beganMs} = pace;
    const durationMs = nowMs - beganMs;
    this.onChange({serverId, cause, isBegin: false, durationMs});
  }
}

function computeFirstLimit(slots: number): number {
  return Math.max(1, slots * FIRST_LIMIT_FRACTION);
}

function computeLimit(pace: Pace, slots: number, nowMs: number): number {
  if (pace.successes === 0) return pace.limit;
  const ramp = (slots * (nowMs - pace.rampSinceMs)) / pace.rampMs;
  return Math.max(pace.limit, ramp);
}

function adjustLimit(pace: Pace, {grantedMs}: EndedCall, nowMs: number): void {
  if (grantedMs < pace.loweredMs) return;
  pace.loweredMs = nowMs;
  pace.limit = Math.max(1, pace.limit * SLOW_FACTOR);
}

function recordFailure(
  pace: Pace,
  {grantedMs}: EndedCall,
  nowMs: number,
): void {
  pace.successes = 0;
  pace.hasFailed = true;
  pace.limit = 1;
  // Calls that ran together fail together: they are one failed trial.
  if (grantedMs < pace.rampSinceMs) return;
  pace.rampSinceMs = nowMs;
  pace.loweredMs = nowMs;
  pace.failures += 1;
  pace.nextTrialMs =
    nowMs +
    computeBackoffMs(TRIAL_BACKOFF_MS, MAX_TRIAL_BACKOFF_MS, pace.failures);
  pace.idleSinceMs = pace.nextTrialMs;
}
