/** Service registry: the environment and the backend servers in force, as replicated on this daemon. */

/** One process lifetime of a backend server: a restarted server counts as a new one. */
export interface BackendServer {
  /** Id of this process lifetime. */
  id: string;
  service: string;
  /** IP address and port. */
  address: string;
  zone: string;
  /** Version of the server's software, not of its weights; versions have no order. */
  softwareVersion: string;
  /** Concurrency slots: requests that the server runs at once. */
  slots: number;
  /** Start of the process according to its entry, Unix milliseconds. */
  startedAtMs?: number;
  /** Whether the server finishes its requests and accepts no new work. */
  isDraining: boolean;
  /** End of the server's warm-up, monotonic milliseconds; the server is cold until then. */
  coldUntilMs: number;
}

/** A software version of a service, with when one of its servers was last listed. */
export interface ListedVersion {
  service: string;
  softwareVersion: string;
  /** Monotonic milliseconds; the current time while a server is listed. */
  listedMs: number;
}

/** What a read of the store tells about the servers that this daemon knows. */
export enum ServerReadOutcome {
  /** This daemon knew all servers that were registered when the read began. */
  UNCHANGED = 'unchanged',
  /** Servers were registered or removed that this daemon did not know of; their versions are listed now. */
  CHANGED = 'changed',
  FAILED = 'failed',
}

/** Read access to the environment and the backend servers in force. */
export interface ServiceRegistry<TEnvironment> {
  /** Gets the environment; undefined before the first one has been read. */
  getEnvironment(): TEnvironment | undefined;
  /** Lists the servers of a service that accept new work. */
  listServers(service: string): BackendServer[];
  /** Lists the ids of the servers of a service that have said in an answer to this daemon that they leave; other daemons may not know of it. */
  listLeaving(service: string): string[];
  /**
   * Records what an answer to a call says about the state of its server, whether
   * this daemon made the call or another one did.
   *
   * @param server - the server as it was called
   * @param headers - names and values of the answer's headers, alternating
   * @param startMs - when the call began, monotonic milliseconds
   */
  recordAnswer(
    server: BackendServer,
    headers: readonly string[],
    startMs: number,
  ): void;
  /** Lists the software versions of all servers that are or were listed, also of those that accept no new work. */
  listVersions(): ListedVersion[];
  /** Reads the software versions that were registered up to now; the servers in force stay as they are. */
  readVersions(): Promise<ServerReadOutcome>;
  /** Finds a server by its id; undefined when there is none that accepts new work. */
  findServer(id: string): BackendServer | undefined;
}
