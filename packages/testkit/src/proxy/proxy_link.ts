/** One listening port of the proxy and its connections to one target. */
import net from 'node:net';
import type {Clock} from '@savoryspur/common';
import {ProxyAction, type ProxyLinkStats} from '@savoryspur/schema';
import {LOOPBACK} from '../http_stand_in.js';
import {FlowDirection, LinkState} from './link_state.js';
import {ProxyFlow} from './proxy_flow.js';

/** One proxied connection: both sockets and both directions. */
interface ProxyConnection {
  client: net.Socket;
  target: net.Socket;
  flows: ProxyFlow[];
}

/** Where a link forwards to. */
export interface ProxyTarget {
  /** IP address. */
  address: string;
  port: number;
}

/** Forwards connections to one target and injects faults into them. */
export class ProxyLink {
  private readonly state: LinkState;
  private readonly server: net.Server;
  private readonly connections = new Set<ProxyConnection>();
  private readonly stats: ProxyLinkStats = {
    open: 0,
    accepted: 0,
    refused: 0,
    forgotten: 0,
    bytesToTarget: 0,
    bytesToClient: 0,
  };

  /**
   * @param target - address and port to forward to
   * @param clock - clock of the delays
   */
  constructor(
    private readonly target: ProxyTarget,
    clock: Clock,
  ) {
    this.state = new LinkState(clock);
    this.server = net.createServer(
      {allowHalfOpen: true, noDelay: true},
      (client) => void this.accept(client),
    );
  }

  /**
   * Starts listening.
   *
   * @param port - port to listen on; 0 lets the system choose
   * @returns the port that the link listens on
   */
  async start(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /**
   * Applies an action to the link and its open connections.
   *
   * @param action - what to do
   * @param delayMs - delay, for the delay action only, milliseconds
   */
  apply(action: ProxyAction, delayMs: number): void {
    this.state.apply(action, delayMs);
    for (const connection of this.connections) {
      if (connection.flows.some((flow) => flow.isForgotten)) continue;
      const hasLostBytes = connection.flows.some((flow) => flow.hasLostBytes);
      if (action === ProxyAction.FORGET) this.markForgotten(connection);
      if (action === ProxyAction.CUT) resetConnection(connection);
      if (action === ProxyAction.HEAL && hasLostBytes)
        resetConnection(connection);
    }
  }

  /** Reports the counters. */
  report(): ProxyLinkStats {
    return {...this.stats, open: this.connections.size};
  }

  /** Stops listening and resets all connections. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      for (const connection of this.connections) resetConnection(connection);
    });
  }

  private async accept(client: net.Socket): Promise<void> {
    client.on('error', () => undefined);
    if (this.state.isCut) {
      this.stats.refused += 1;
      client.resetAndDestroy();
      return;
    }
    this.stats.accepted += 1;
    const target = new net.Socket({allowHalfOpen: true});
    target.setNoDelay(true);
    target.on('error', () => undefined);
    const connection = this.createConnection(client, target);
    this.connections.add(connection);
    await this.state.waitWhileFrozen();
    if (client.destroyed) target.destroy();
    else target.connect(this.target.port, this.target.address);
    await this.runFlows(connection);
    this.connections.delete(connection);
  }

  private createConnection(
    client: net.Socket,
    target: net.Socket,
  ): ProxyConnection {
    const {TO_TARGET, TO_CLIENT} = FlowDirection;
    const flows = [
      new ProxyFlow(client, target, TO_TARGET, this.state),
      new ProxyFlow(target, client, TO_CLIENT, this.state),
    ];
    return {client, target, flows};
  }

  private async runFlows(connection: ProxyConnection): Promise<void> {
    const [toTarget, toClient] = connection.flows;
    await Promise.all([
      toTarget!.run((count) => (this.stats.bytesToTarget += count)),
      toClient!.run((count) => (this.stats.bytesToClient += count)),
    ]);
  }

  private markForgotten(connection: ProxyConnection): void {
    this.stats.forgotten += 1;
    for (const flow of connection.flows) flow.isForgotten = true;
  }
}

function resetConnection(connection: ProxyConnection): void {
  connection.client.resetAndDestroy();
  connection.target.resetAndDestroy();
}
