/** TCP load balancer with round robin over the daemons that are ready. */
import net from 'node:net';
import type {Clock} from '@savoryspur/common';
import {
  type BalancerStats,
  type BalancerTarget,
  validateBalancerControl,
} from '@savoryspur/schema';
import {request as sendRequest} from 'undici';
import {
  createJsonAnswer,
  HttpStandIn,
  LOOPBACK,
  parseBody,
} from '../http_stand_in.js';
import type {StartedStandIn} from '../stand_in.js';

/** Timeout of one readiness check, milliseconds. */
const CHECK_TIMEOUT_MS = 1000;

/** Load balancer that checks periodically which daemons are ready. */
export class BalancerStandIn {
  private readyDaemons: BalancerTarget[] = [];
  private nextIndex = 0;
  private accepted = 0;
  private refused = 0;
  private readonly sockets = new Set<net.Socket>();

  /**
   * @param daemons - daemons over which connections are balanced
   * @param checkPeriodMs - period of readiness checks, milliseconds
   * @param clock - clock of the readiness checks
   */
  constructor(
    private daemons: BalancerTarget[],
    private readonly checkPeriodMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Starts listening, and waits for a first readiness check of all daemons.
   *
   * @param port - port to listen on; 0 lets the system choose
   */
  async start(port: number): Promise<StartedStandIn> {
    const control = this.createControl();
    const controlPort = await control.start(0);
    const server = net.createServer((client) => this.accept(client));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, LOOPBACK, resolve);
    });
    const stopping = new AbortController();
    await this.checkAll();
    void this.watchReadiness(stopping.signal);
    const close = async (): Promise<void> => {
      stopping.abort();
      server.close();
      for (const socket of this.sockets) socket.destroy();
      await control.close();
    };
    const listeningPort = (server.address() as net.AddressInfo).port;
    return {port: listeningPort, details: {controlPort}, close};
  }

  private createControl(): HttpStandIn {
    return new HttpStandIn([
      {
        method: 'POST',
        path: /^\/control\/daemons$/,
        handle: async ({body}) => {
          this.daemons = parseBody(body, validateBalancerControl).daemons;
          await this.checkAll();
          return createJsonAnswer({});
        },
      },
      {
        method: 'GET',
        path: /^\/control\/stats$/,
        handle: () => createJsonAnswer(this.report()),
      },
    ]);
  }

  private accept(client: net.Socket): void {
    const chosen =
      this.readyDaemons[this.nextIndex % Math.max(1, this.readyDaemons.length)];
    this.nextIndex += 1;
    if (chosen === undefined) {
      this.refused += 1;
      client.on('error', () => undefined);
      client.resetAndDestroy();
      return;
    }
    this.accepted += 1;
    const target = net.connect(chosen.callerPort, chosen.address);
    this.track(client, target);
    this.track(target, client);
    client.pipe(target);
    target.pipe(client);
  }

  private track(socket: net.Socket, other: net.Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => other.resetAndDestroy());
    socket.once('close', () => this.sockets.delete(socket));
  }

  private async watchReadiness(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(this.checkPeriodMs, signal);
      await this.checkAll();
    }
  }

  private async checkAll(): Promise<void> {
    const {daemons} = this;
    const areReady = await Promise.all(daemons.map((d) => checkReady(d)));
    this.readyDaemons = daemons.filter((daemon, index) => areReady[index]);
  }

  private report(): BalancerStats {
    const {accepted, refused} = this;
    return {ready: this.readyDaemons.length, accepted, refused};
  }
}

async function checkReady(daemon: BalancerTarget): Promise<boolean> {
  const url = `http://${daemon.address}:${daemon.opsPort}/ready`;
  try {
    const answer = await sendRequest(url, {
      reset: true,
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
