/**
 * Finds the prompt parts that crash servers, from the crashes that a fleet saw.
 * Performs no I/O; all times are arguments.
 */
import type {PromptCrash} from '@savoryspur/schema';

/** Consecutive crashes without a sound answer after which prompt parts are quarantined. */
const MIN_CONSECUTIVE_CRASHES = 3;

/** Prompt parts that crash servers when a request has all of them. */
export interface CrashingParts {
  parts: readonly string[];
  /** When the last server crashed under them, milliseconds of the store's clock. */
  lastCrashMs: number;
}

/** A crash with the parts that no later answer showed to be sound. */
interface OpenCrash {
  crash: PromptCrash;
  parts: readonly string[];
}

/** The crashes under one prompt part. */
interface PartCrashes {
  part: string;
  crashes: OpenCrash[];
  /** Number of crashes of which each run began after the crash before it. */
  consecutive: number;
}

/**
 * Finds the fewest prompt parts that explain repeated crashes. A request that
 * crashes servers shares its other parts with sound requests, and sound requests
 * are in progress on servers that crash. Therefore the part with the most
 * consecutive crashes is taken first, and the crashes under it no longer count
 * against other parts.
 *
 * @param crashes - the runs of requests that ended with a crash of their server
 * @param soundMs - when a server last answered a request with a part, by part, milliseconds of the store's clock
 * @returns sets of parts; a set has several parts when no crash tells them apart
 */
export function findCrashingParts(
  crashes: readonly PromptCrash[],
  soundMs: ReadonlyMap<string, number>,
): CrashingParts[] {
  const found: CrashingParts[] = [];
  let open = crashes.map((crash) => ({
    crash,
    parts: crash.parts.filter(
      (part) => crash.endedMs > (soundMs.get(part) ?? Number.NEGATIVE_INFINITY),
    ),
  }));
  for (;;) {
    const worst = findWorstPart(open);
    if (!worst || worst.consecutive < MIN_CONSECUTIVE_CRASHES) return found;
    found.push({
      parts: listCommonParts(worst.crashes),
      lastCrashMs: Math.max(...worst.crashes.map(({crash}) => crash.endedMs)),
    });
    open = open.filter(({parts}) => !parts.includes(worst.part));
  }
}

/** Finds the part with the most consecutive crashes, and among these the one with the most crashes. */
function findWorstPart(open: readonly OpenCrash[]): PartCrashes | undefined {
  const crashesByPart = new Map<string, OpenCrash[]>();
  for (const openCrash of open) {
    for (const part of new Set(openCrash.parts)) {
      const known = crashesByPart.get(part) ?? [];
      known.push(openCrash);
      crashesByPart.set(part, known);
    }
  }
  let worst: PartCrashes | undefined;
  for (const [part, crashes] of crashesByPart) {
    const consecutive = countConsecutive(crashes);
    const candidate = {part, crashes, consecutive};
    if (!worst || compareParts(candidate, worst) > 0) worst = candidate;
  }
  return worst;
}

/** Compares parts so that all daemons with the same crashes choose the same part. */
function compareParts(a: PartCrashes, b: PartCrashes): number {
  if (a.consecutive !== b.consecutive) return a.consecutive - b.consecutive;
  if (a.crashes.length !== b.crashes.length)
    return a.crashes.length - b.crashes.length;
  return a.part < b.part ? 1 : -1;
}

/**
 * Counts crashes that can't have one cause other than the parts of their
 * requests: servers that crash at the same time crash under many requests at
 * once, and repeats of one request have more in common than their parts.
 */
function countConsecutive(crashes: readonly OpenCrash[]): number {
  const runs = crashes.map(({crash}) => crash);
  runs.sort((a, b) => a.endedMs - b.endedMs);
  let count = 0;
  let lastEndedMs = Number.NEGATIVE_INFINITY;
  const fingerprints = new Set<string>();
  for (const {startedMs, endedMs, fingerprint} of runs) {
    if (startedMs <= lastEndedMs || fingerprints.has(fingerprint)) continue;
    fingerprints.add(fingerprint);
    count += 1;
    lastEndedMs = endedMs;
  }
  return count;
}

function listCommonParts(crashes: readonly OpenCrash[]): string[] {
  const [first, ...others] = crashes;
  const parts = new Set(first?.parts);
  return [...parts].filter((part) =>
    others.every((other) => other.parts.includes(part)),
  );
}
