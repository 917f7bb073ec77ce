/** Links of one proxy process and their control API. */
import type {Clock} from '@savoryspur/common';
import {
  type ProxyFault,
  type ProxyLinkRequest,
  type ProxyStats,
  validateProxyFault,
  validateProxyLinkRequest,
} from '@savoryspur/schema';
import {
  createJsonAnswer,
  HttpStandIn,
  parseBody,
  StatusError,
} from '../http_stand_in.js';
import type {StartedStandIn} from '../stand_in.js';
import {ProxyLink} from './proxy_link.js';

/** Fault-injecting TCP proxy with any number of links. */
export class ProxyStandIn {
  private readonly links = new Map<string, ProxyLink>();

  /** @param clock - clock of the delays */
  constructor(private readonly clock: Clock) {}

  /**
   * Starts the control API and the first link.
   *
   * @param controlPort - port of the control API; 0 lets the system choose
   * @param firstLink - first link; none when absent
   */
  async start(
    controlPort: number,
    firstLink?: ProxyLinkRequest,
  ): Promise<StartedStandIn> {
    const control = this.createControl();
    const listeningPort = await control.start(controlPort);
    const port =
      firstLink === undefined ? listeningPort : await this.addLink(firstLink);
    const close = async (): Promise<void> => {
      await control.close();
      for (const link of this.links.values()) await link.close();
    };
    return {port, details: {controlPort: listeningPort}, close};
  }

  private createControl(): HttpStandIn {
    return new HttpStandIn([
      {
        method: 'POST',
        path: /^\/control\/links$/,
        handle: async ({body}) => {
          const link = parseBody(body, validateProxyLinkRequest);
          return createJsonAnswer({port: await this.addLink(link)});
        },
      },
      {
        method: 'POST',
        path: /^\/control\/faults$/,
        handle: ({body}) => {
          this.apply(parseBody(body, validateProxyFault));
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

  private async addLink(request: ProxyLinkRequest): Promise<number> {
    if (this.links.has(request.name)) {
      throw new StatusError(409, `link ${request.name} already exists`);
    }
    const target = {address: request.targetAddress, port: request.targetPort};
    const link = new ProxyLink(target, this.clock);
    this.links.set(request.name, link);
    return link.start(request.port);
  }

  private apply(fault: ProxyFault): void {
    const names = fault.links ?? [...this.links.keys()];
    for (const name of names) {
      const link = this.links.get(name);
      if (link === undefined)
        throw new StatusError(404, `unknown link ${name}`);
      link.apply(fault.action, fault.delayMs);
    }
  }

  private report(): ProxyStats {
    const stats: ProxyStats = {links: {}};
    for (const [name, link] of this.links) stats.links[name] = link.report();
    return stats;
  }
}
