/**
 * Pools of connections to backend servers. A connection whose request timed
 * out, broke or got the answer to another request is never used again.
 */
import {type Dispatcher, Pool} from 'undici';
import type {BackendTimeouts} from './backend_clients.js';

/** Servers with open pools; the longest unused one is closed beyond it. */
const MAX_POOLS = 512;

/** Bounds on pooled connections. */
export interface ConnectionOptions {
  /** Longest idle time after which a connection is used again, milliseconds. */
  idleReuseMs: number;
  /** Connections to one server. */
  maxConnections: number;
}

/** One HTTP request to a backend server. */
export interface BackendRequest {
  serverUrl: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string | Buffer;
  bounds: BackendTimeouts;
  signal?: AbortSignal;
}

/** Connections to all backend servers. */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>();

  /**
   * @param options - bounds on pooled connections
   */
  constructor(private readonly options: ConnectionOptions) {}

  /**
   * Sends one request. Aborting its signal or running out of a bound destroys
   * the connection.
   *
   * @param request - what to send
   * @returns the answer, with its body still to be read
   */
  send(request: BackendRequest): Promise<Dispatcher.ResponseData> {
    const url = new URL(request.serverUrl);
    const basePath = url.pathname.replace(/\/$/, '');
    return this.getPool(url.origin, request.bounds.connectTimeoutMs).request({
      path: `${basePath}${request.path}`,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
      signal: request.signal,
      headersTimeout: request.bounds.firstByteTimeoutMs,
      bodyTimeout: request.bounds.idleTimeoutMs,
    });
  }

  /**
   * Stops reuse of the idle connections to a server, which may have gone silent
   * or out of step; requests in progress on them go on.
   *
   * @param serverUrl - base URL of the server
   */
  drop(serverUrl: string): void {
    const prefix = `${new URL(serverUrl).origin} `;
    for (const [key, pool] of this.pools) {
      if (!key.startsWith(prefix)) continue;
      this.pools.delete(key);
      void pool.close().catch(() => undefined);
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private getPool(origin: string, connectMs: number): Pool {
    const key = `${origin} ${connectMs}`;
    const pool = this.pools.get(key) ?? this.createPool(origin, connectMs);
    this.pools.delete(key);
    this.pools.set(key, pool);
    this.dropOldest();
    return pool;
  }

  private createPool(origin: string, connectMs: number): Pool {
    return new Pool(origin, {
      connections: this.options.maxConnections,
      pipelining: 1,
      connect: {timeout: connectMs},
      keepAliveTimeout: this.options.idleReuseMs,
      keepAliveMaxTimeout: this.options.idleReuseMs,
    });
  }

  private dropOldest(): void {
    if (this.pools.size <= MAX_POOLS) return;
    for (const [key, pool] of this.pools) {
      this.pools.delete(key);
      void pool.close().catch(() => undefined);
      return;
    }
  }
}
