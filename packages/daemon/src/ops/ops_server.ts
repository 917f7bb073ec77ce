/** HTTP server for health checks, readiness, metrics and status. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Metrics} from '@savoryspur/common';

/** Sources of the pages of the operations port. */
export interface OpsContext {
  metrics: Metrics;
  /** Whether the load balancer may send new connections to this daemon. */
  isReady: () => boolean;
  /** Status of the daemon's components. */
  getStatus: () => unknown;
}

/** Response with one page. */
interface OpsPage {
  status: number;
  contentType: string;
  body: string;
}

/** Pages by path. */
const OPS_PAGES: Record<string, (context: OpsContext) => OpsPage> = {
  '/health': () => ({status: 200, contentType: 'text/plain', body: 'ok\n'}),
  '/ready': (context) => {
    const isReady = context.isReady();
    return {
      status: isReady ? 200 : 503,
      contentType: 'text/plain',
      body: isReady ? 'ready\n' : 'not ready\n',
    };
  },
  '/metrics': (context) => ({
    status: 200,
    contentType: 'text/plain; version=0.0.4',
    body: context.metrics.render(),
  }),
  '/status': (context) => ({
    status: 200,
    contentType: 'application/json',
    body: `${JSON.stringify(context.getStatus())}\n`,
  }),
};

/** HTTP server of the operations port. */
export class OpsServer {
  private readonly server: Server;

  /**
   * @param context - sources of the pages
   */
  constructor(context: OpsContext) {
    this.server = createServer((message, response) =>
      servePage(context, message, response),
    );
  }

  /**
   * Starts listening.
   *
   * @param address - IP address to listen on
   * @param port - port to listen on; 0 lets the operating system choose
   * @returns the port that was bound
   */
  start(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

function servePage(
  context: OpsContext,
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const buildPage = OPS_PAGES[message.url ?? '/'];
  const page = buildPage?.(context) ?? {
    status: 404,
    contentType: 'text/plain',
    body: `expected one of ${Object.keys(OPS_PAGES).join(', ')}\n`,
  };
  response.writeHead(page.status, {'content-type': page.contentType});
  response.end(page.body);
}
