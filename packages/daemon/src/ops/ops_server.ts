/** Health, readiness and metrics on a port of their own. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Metrics} from '@savoryspur/common';

/** What the operations port tells. */
export interface OpsContext {
  metrics: Metrics;
  /** Whether new connections are welcome. */
  isReady: () => boolean;
  /** Status of the daemon's parts. */
  getStatus: () => unknown;
}

/** Answer of one page. */
interface OpsPage {
  status: number;
  contentType: string;
  body: string;
}

/** Pages of the operations port. */
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

/** Serves the operations pages. */
export class OpsServer {
  private readonly server: Server;

  /**
   * @param context - what the pages read
   */
  constructor(context: OpsContext) {
    this.server = createServer((message, response) =>
      servePage(context, message, response),
    );
  }

  /**
   * Starts to listen.
   *
   * @param address - IP address
   * @param port - port; 0 lets the system choose
   * @returns the port
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
  const build = OPS_PAGES[message.url ?? '/'];
  const page = build?.(context) ?? {
    status: 404,
    contentType: 'text/plain',
    body: `expected one of ${Object.keys(OPS_PAGES).join(', ')}\n`,
  };
  response.writeHead(page.status, {'content-type': page.contentType});
  response.end(page.body);
}
