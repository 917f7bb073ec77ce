/**
 * Finds the prompt parts that crash servers, from the crashes that a fleet saw.
 * Performs no I/O; all times are arguments.
 */
import type {PromptCrash} from '@savoryspur/schema';

/** Crashes without a sound answer, each under a run that began after the crash before it, after which prompt parts are quarantined. */
const MIN_CONSECUTIVE_CRASHES = 3;

/** Crashes without a sound answer that are apart in time, after which prompt parts are quarantined although the runs overlap. */
const MIN_SEPARATE_CRASHES = 5;

/** Time between two crashes from which they are separate, milliseconds: a common cause ends servers at once. */
const MIN_SEPARATION_MS = 50;

/** Time within which all connections to a server break when it crashes, milliseconds: shorter than its restart, after which it may have the same id. */
const MAX_CRASH_DURATION_MS = 500;

/** Minimum number of crashes under two parts in one run for which both together may be the cause. */
const MIN_CRASHES_TOGETHER = 3;

/** Maximum number of crashes without a second part for which both parts together are held to be the cause. */
const MAX_CRASHES_WITHOUT_PART = 1;

/** Prompt parts that crash servers when a request has all of them. */
export interface CrashingParts {
  parts: readonly string[];
  /** When the last server crashed under them, milliseconds of the store's clock. */
  lastCrashMs: number;
}

/** A run that a crash ended, with the parts that no later answer showed to be sound. */
interface OpenRun {
  parts: ReadonlySet<string>;
  fingerprint: string;
  startedMs: number;
}

/** One crash of a server with the runs that it ended. */
interface ServerCrash {
  serverId: string;
  runs: OpenRun[];
  endedMs: number;
}

/** The crashes under one prompt part. */
interface PartCrashes {
  part: string;
  crashes: ServerCrash[];
  /** Number of crashes under runs of which each began after the crash before it. */
  consecutive: number;
  /** Number of crashes that are apart in time. */
  separate: number;
  /** Number of runs with the part that the crashes ended. */
  runs: number;
}

/**
 * Finds the fewest prompt parts that explain repeated crashes. A request that
 * crashes servers shares its other parts with sound requests, and sound requests
 * are in progress on servers that crash. Therefore the part with the most crashes
 * is taken first, and its crashes no longer count against other parts.
 *
 * @param runs - the runs of requests that ended with a crash of their server
 * @param soundMs - when a server last answered a request with a part, by part, milliseconds of the store's clock
 * @returns sets of parts; a set has several parts while no crash tells them apart
 */
export function findCrashingParts(
  runs: readonly PromptCrash[],
  soundMs: ReadonlyMap<string, number>,
): CrashingParts[] {
  const found: CrashingParts[] = [];
  let open = collectCrashes(runs, soundMs);
  for (;;) {
    const worst = findWorstPart(open);
    if (!worst) return found;
    found.push({
      parts: listInseparableParts(worst),
      lastCrashMs: Math.max(...worst.crashes.map(({endedMs}) => endedMs)),
    });
    open = open.filter((crash) => !worst.crashes.includes(crash));
  }
}

/** Collects the crashes that ended the runs, in order of time. */
function collectCrashes(
  runs: readonly PromptCrash[],
  soundMs: ReadonlyMap<string, number>,
): ServerCrash[] {
  const crashes: ServerCrash[] = [];
  const latestByServer = new Map<string, ServerCrash>();
  for (const run of [...runs].sort((a, b) => a.endedMs - b.endedMs)) {
    const {serverId, fingerprint, startedMs, endedMs} = run;
    let crash = latestByServer.get(serverId);
    if (!crash || endedMs - crash.endedMs > MAX_CRASH_DURATION_MS) {
      crash = {serverId, runs: [], endedMs};
      latestByServer.set(serverId, crash);
      crashes.push(crash);
    }
    const open = run.parts.filter(
      (part) => endedMs > (soundMs.get(part) ?? Number.NEGATIVE_INFINITY),
    );
    crash.runs.push({parts: new Set(open), fingerprint, startedMs});
  }
  return crashes;
}

/** Finds the part with the most crashes among those with enough of them. */
function findWorstPart(open: readonly ServerCrash[]): PartCrashes | undefined {
  const parts = new Set<string>();
  for (const {runs} of open) {
    for (const run of runs) for (const part of run.parts) parts.add(part);
  }
  let worst: PartCrashes | undefined;
  for (const part of parts) {
    const candidate = describePart(part, open);
    if (
      candidate.consecutive < MIN_CONSECUTIVE_CRASHES &&
      candidate.separate < MIN_SEPARATE_CRASHES
    )
      continue;
    if (!worst || compareParts(candidate, worst) > 0) worst = candidate;
  }
  return worst;
}

function describePart(part: string, open: readonly ServerCrash[]): PartCrashes {
  const crashes = open.filter((crash) => hasRunWith(crash, [part]));
  let runs = 0;
  for (const crash of crashes) runs += listRunsWith(crash, part).length;
  return {part, crashes, ...countCrashes(part, crashes), runs};
}

/**
 * Compares parts so that all daemons with the same crashes choose the same part.
 * Of two parts with as many crashes, the one in fewer runs is the likelier cause:
 * the other one is also in sound requests on these servers.
 */
function compareParts(a: PartCrashes, b: PartCrashes): number {
  if (a.consecutive !== b.consecutive) return a.consecutive - b.consecutive;
  if (a.separate !== b.separate) return a.separate - b.separate;
  if (a.runs !== b.runs) return b.runs - a.runs;
  return a.part < b.part ? 1 : -1;
}

/**
 * Counts the crashes under a part, each request once: repeats of one request
 * have more in common than their parts.
 */
function countCrashes(
  part: string,
  crashes: readonly ServerCrash[],
): Pick<PartCrashes, 'consecutive' | 'separate'> {
  const fingerprints = new Set<string>();
  let consecutive = 0;
  let lastConsecutiveMs = Number.NEGATIVE_INFINITY;
  let separate = 0;
  let lastSeparateMs = Number.NEGATIVE_INFINITY;
  for (const crash of crashes) {
    const runs = listRunsWith(crash, part);
    const run = runs.find(({fingerprint}) => !fingerprints.has(fingerprint));
    if (!run) continue;
    fingerprints.add(run.fingerprint);
    const startedMs = Math.min(...runs.map((other) => other.startedMs));
    if (startedMs > lastConsecutiveMs) {
      consecutive += 1;
      lastConsecutiveMs = crash.endedMs;
    }
    if (crash.endedMs - lastSeparateMs >= MIN_SEPARATION_MS) {
      separate += 1;
      lastSeparateMs = crash.endedMs;
    }
  }
  return {consecutive, separate};
}

/** Lists a part and the parts that were in the same runs in so many of its crashes that the cause may be all of them together. */
function listInseparableParts({part, crashes}: PartCrashes): string[] {
  const others = new Set<string>();
  for (const crash of crashes) {
    for (const run of listRunsWith(crash, part)) {
      for (const other of run.parts) if (other !== part) others.add(other);
    }
  }
  const inseparable = [...others].filter((other) => {
    const together = crashes.filter((crash) =>
      hasRunWith(crash, [part, other]),
    );
    return (
      together.length >= MIN_CRASHES_TOGETHER &&
      crashes.length - together.length <= MAX_CRASHES_WITHOUT_PART
    );
  });
  return [part, ...inseparable].sort();
}

function hasRunWith({runs}: ServerCrash, parts: readonly string[]): boolean {
  return runs.some((run) => parts.every((part) => run.parts.has(part)));
}

function listRunsWith({runs}: ServerCrash, part: string): OpenRun[] {
  return runs.filter((run) => run.parts.has(part));
}
