/**
 * Connection pools for backend servers. A connection is never reused after one
 * of its requests timed out, failed or received the answer to another request.
 */
import {createConnector} from '@savoryspur/common';
import {buildConnector, type Dispatcher, Pool} from 'undici';
import type {BackendTimeouts} from './backend_clients.js';

/**
 * Maximum number of open connection pools; above it, the least recently used
 * pool is closed.
 */
const MAX_POOLS = 512;

/** Limits of the connection pools. */
export interface ConnectionOptions {
  /** Idle time after which a connection is not reused, milliseconds. */
  maxIdleMs: number;
  /** Maximum number of connections to one server. */
  maxConnections: number;
}

/** One HTTP request to a backend server. */
export interface BackendRequest {
  serverUrl: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string | Buffer;
  timeouts: BackendTimeouts;
  signal?: AbortSignal;
}

/** Keeps one connection pool for each backend server. */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>();

  /**
   * @param options - limits of the connection pools
   */
  constructor(private readonly options: ConnectionOptions) {}

  /**
   * Sends one request. The connection is destroyed when the signal is aborted
   * or a timeout expires.
   *
   * @param request - request to send
   * @returns the answer, whose body the caller still has to read
   */
  send(request: BackendRequest): Promise<Dispatcher.ResponseData> {
    const url = new URL(request.serverUrl);
    const basePath = url.pathname.replace(/\/$/, '');
    return this.getPool(url.origin, request.timeouts.connectTimeoutMs).request({
      path: `${basePath}${request.path}`,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
      signal: request.signal,
      headersTimeout: request.timeouts.firstByteTimeoutMs,
      bodyTimeout: request.timeouts.idleTimeoutMs,
    });
  }

  /**
   * Stops using the connection pool of a server, because its idle connections
   * may no longer respond or may still carry the answer to an earlier request.
   * Requests in progress continue on the old connections.
   *
   * @param serverUrl - base URL of the server
   */
  dropPool(serverUrl: string): void {
    const prefix = `${new URL(serverUrl).origin} `;
    for (const [key, pool] of this.pools) {
      if (!key.startsWith(prefix)) continue;
      this.pools.delete(key);
      void pool.close().catch(() => undefined);
    }
  }

  /** Destroys all connections immediately, also those with open requests. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private getPool(origin: string, connectTimeoutMs: number): Pool {
    const key = `${origin} ${connectTimeoutMs}`;
    const pool =
      this.pools.get(key) ?? this.createPool(origin, connectTimeoutMs);
    this.pools.delete(key);
    this.pools.set(key, pool);
    this.dropLeastRecentlyUsedPool();
    return pool;
  }

  private createPool(origin: string, connectTimeoutMs: number): Pool {
    return new Pool(origin, {
      connections: this.options.maxConnections,
      pipelining: 1,
      connect: createConnector(
        connectTimeoutMs,
        buildConnector({timeout: connectTimeoutMs}),
      ),
      keepAliveTimeout: this.options.maxIdleMs,
      keepAliveMaxTimeout: this.options.maxIdleMs,
    });
  }

  private dropLeastRecentlyUsedPool(): void {
    if (this.pools.size <= MAX_POOLS) return;
    for (const [key, pool] of this.pools) {
      this.pools.delete(key);
      void pool.close().catch(() => undefined);
      return;
    }
  }
}
