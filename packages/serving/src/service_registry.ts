/** Backend servers as the daemons know them. */

/** One start of a backend server. */
export interface BackendServer {
  /** Id of this start of the server. */
  id: string;
  service: string;
  /** IP address and port. */
  address: string;
  zone: string;
  /** Requests that the server runs at once. */
  slots: number;
  isDraining: boolean;
  /** Until when the server counts as cold, monotonic milliseconds. */
  coldUntilMs: number;
}

/** Read access to the environment and the servers in force. */
export interface ServiceRegistry<TEnvironment> {
  /** Gets the environment; undefined before the first one is known. */
  getEnvironment(): TEnvironment | undefined;
  /** Lists the servers of a service that may get new work. */
  listServers(service: string): BackendServer[];
  /** Finds a server that may get new work. */
  findServer(id: string): BackendServer | undefined;
}
