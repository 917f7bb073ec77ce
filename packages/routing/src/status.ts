/**
 * Status of routing for operators; its field names are part of the JSON output.
 */

/** Counters since the start of the daemon. */
export interface RoutingCounters {
  /** Slots granted by this host's owners. */
  granted: number;
  /** Acquire requests refused by this host's owners. */
  refused: number;
  /** Batch slots revoked by this host's owners. */
  revoked: number;
  /** Times that a server became cold. */
  coldServers: number;
  /** Crashes of servers. */
  crashes: number;
  /** Grants dropped because their holder was dead or their release was lost. */
  droppedGrants: number;
  /** Finished grant recoveries. */
  settlements: number;
}

/** State of a backend server. */
export enum ServerState {
  /** The server has reached the warm capacity. */
  WARM = 'warm',
  /** The server is warming up, or a crash check is running. */
  COLD = 'cold',
  /** The server gets no new work: it is unreachable, or its owner is new. */
  CLOSED = 'closed',
  /** The configuration no longer lists the server; it gets no new work. */
  LEAVING = 'leaving',
}

/** Status of one backend server. */
export interface ServerStatus {
  id: string;
  state: ServerState;
  capacity: number;
  grantedOnline: number;
  grantedBatch: number;
  batchLimit: number;
  reportedLoad: number;
}

/**
 * Status of a pool in this host's zone; slots and zoneSlots are quota slots.
 */
export interface PoolStatus {
  pool: string;
  zone: string;
  slots: number;
  zoneSlots: number;
  isSettled: boolean;
  queuedOnline: number;
  queuedBatch: number;
  servers: ServerStatus[];
}

/** Status of routing on one host. */
export interface RoutingStatus {
  pools: PoolStatus[];
  heldPlaces: number;
  suspects: number;
  quarantined: number;
  counters: RoutingCounters;
}

/** Makes counters that are all zero. */
export function createRoutingCounters(): RoutingCounters {
  return {
    granted: 0,
    refused: 0,
    revoked: 0,
    coldServers: 0,
    crashes: 0,
    droppedGrants: 0,
    settlements: 0,
  };
}
