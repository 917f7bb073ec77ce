/** Load of the servers of a slot pool, by which one is chosen for a request. */
import type {ColdServerLimiter} from './cold_server_limiter.js';
import type {PoolRequest, PoolServer} from './pool_types.js';

/** Load that is added to a server in another zone than the requesting daemon, as a fraction of the server's slots. */
const OTHER_ZONE_LOAD_PENALTY = 0.35;

/** Load that is added to a server that the requesting daemon calls through another one, as a fraction of the server's slots. */
const FORWARDED_LOAD_PENALTY = 0.35;

/** Load that is subtracted from a server that lately ran a request with the same prompt prefix, as a fraction of the server's slots. */
const PREFIX_LOAD_BONUS = 0.05;

/** Load that is subtracted from a server to which the requesting daemon has an open connection, as a fraction of the server's slots. */
const CONNECTED_LOAD_BONUS = 0.15;

/** Time for which a daemon is assumed to keep an idle connection to a server open, milliseconds. */
const IDLE_CONNECTION_MS = 8000;

/** Prompt prefixes that are kept for each server; the least recently used one is dropped. */
const MAX_PREFIXES_PER_SERVER = 64;

/** State of one server of the pool. */
export interface PoolEntry {
  server: PoolServer;
  /** Slots in use; can exceed `server.slots` after these were reduced or by grants of a former owner. */
  used: number;
  coldLimiter: ColdServerLimiter;
  /** Last parts of the prompt prefixes that ran on the server lately, the oldest first. */
  prefixes: Set<string>;
  /** Time of the latest grant to each daemon, by host, monotonic milliseconds. */
  lastUsedMsByHolder: Map<string, number>;
}

/**
 * Computes the load by which a server is compared with others for a request.
 *
 * @param entry - the server
 * @param request - the slot request
 * @param isForwarded - whether the requesting daemon calls the server through another one
 * @param nowMs - current time, monotonic milliseconds
 * @returns fraction of the server's slots, with what speaks for and against it
 */
export function computeServerLoad(
  entry: PoolEntry,
  request: PoolRequest,
  isForwarded: boolean,
  nowMs: number,
): number {
  const {slots, zone} = entry.server;
  let load = entry.used / slots;
  if (zone !== request.zone) load += OTHER_ZONE_LOAD_PENALTY;
  if (isForwarded) load += FORWARDED_LOAD_PENALTY;
  const lastUsedMs = entry.lastUsedMsByHolder.get(request.holder);
  const isConnected =
    lastUsedMs !== undefined && nowMs - lastUsedMs < IDLE_CONNECTION_MS;
  if (isConnected) load -= CONNECTED_LOAD_BONUS;
  const lastPart = request.prefix.at(-1);
  if (lastPart !== undefined && entry.prefixes.has(lastPart))
    load -= PREFIX_LOAD_BONUS;
  return load;
}

/** Records that a request with a prompt prefix gets a slot on a server. */
export function recordPrefix(
  entry: PoolEntry,
  prefix: readonly string[],
): void {
  const lastPart = prefix.at(-1);
  if (lastPart === undefined) return;
  entry.prefixes.delete(lastPart);
  entry.prefixes.add(lastPart);
  if (entry.prefixes.size <= MAX_PREFIXES_PER_SERVER) return;
  for (const oldest of entry.prefixes) {
    entry.prefixes.delete(oldest);
    return;
  }
}
