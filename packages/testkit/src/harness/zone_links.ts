/** Links of the zones of a fleet through proxies, so that they can be cut. */
import type {ListedHost, ProxyAction} from '@savoryspur/schema';
import {LOOPBACK} from '../http_stand_in.js';
import type {PlatformProcess, ProxyProcess} from './stand_in_clients.js';
import type {StandIns} from './stand_ins.js';

/** Name of the link from a zone to the platform. */
export const PLATFORM_LINK_NAME = 'platform';

/** Renders the name of the link to a daemon. */
export function formatPeerLinkName(host: string): string {
  return `peer:${host}`;
}

/** Renders the name of the link to a backend server. */
export function formatServerLinkName(server: string): string {
  return `server:${server}`;
}

/** What the daemons of one zone go through. */
interface ZoneProxy {
  proxy: ProxyProcess;
  /** Base URL of the platform through the proxy. */
  platformUrl: string;
}

/** Links that leave the daemons of each zone, and links to backend servers. */
export class ZoneLinks {
  private readonly zones = new Map<string, ZoneProxy>();
  private readonly serverUrls = new Map<string, string>();

  private constructor(
    private readonly hosts: readonly ListedHost[],
    private readonly servers: ProxyProcess,
  ) {}

  /**
   * Starts one proxy for each zone and one for all backend servers.
   *
   * @param standIns - platform, and where the proxies are started
   * @param hosts - all daemons with their own ports
   */
  static async start(
    standIns: StandIns,
    hosts: readonly ListedHost[],
  ): Promise<ZoneLinks> {
    const links = new ZoneLinks(hosts, await standIns.startProxy());
    for (const zone of new Set(hosts.map((host) => host.zone))) {
      const proxy = await standIns.startProxy();
      const platformUrl = await links.connectZone(proxy, standIns.platform);
      links.zones.set(zone, {proxy, platformUrl});
    }
    return links;
  }

  /** Gets the proxy that the daemons of a zone go through. */
  getZoneProxy(zone: string): ProxyProcess {
    return this.requireZone(zone).proxy;
  }

  /** Gets the base URL of the platform as a zone reaches it. */
  getPlatformUrl(zone: string): string {
    return this.requireZone(zone).platformUrl;
  }

  /** Gets the proxy in front of all backend servers. */
  getServerProxy(): ProxyProcess {
    return this.servers;
  }

  /**
   * Adds a link to a backend server, if it has none.
   *
   * @param server - id of the server
   * @param url - its own base URL
   * @returns the base URL through the proxy
   */
  async addServerLink(server: string, url: string): Promise<string> {
    const known = this.serverUrls.get(server);
    if (known !== undefined) return known;
    const {hostname, port: targetPort} = new URL(url);
    const target = {address: hostname, port: Number(targetPort)};
    const name = formatServerLinkName(server);
    const port = await this.servers.addLink(name, target);
    const proxied = `http://${LOOPBACK}:${port}`;
    this.serverUrls.set(server, proxied);
    return proxied;
  }

  /**
   * Applies an action to the links between some zones and all others.
   *
   * @param zones - one availability zone, or all of a region
   * @param action - what to do, such as cut or heal
   */
  async applyFaultBetweenZones(
    zones: string | readonly string[],
    action: ProxyAction,
  ): Promise<void> {
    const group = new Set(typeof zones === 'string' ? [zones] : zones);
    const inside = this.hosts.filter((host) => group.has(host.zone));
    const outside = this.hosts.filter((host) => !group.has(host.zone));
    for (const [name, {proxy}] of this.zones) {
      const targets = group.has(name) ? outside : inside;
      await proxy.apply(
        action,
        targets.map((host) => formatPeerLinkName(host.host)),
      );
    }
  }

  /**
   * Applies an action to the link between a zone and the platform.
   *
   * @param zone - availability zone
   * @param action - what to do, such as cut or heal
   */
  async applyFaultToPlatformLink(
    zone: string,
    action: ProxyAction,
  ): Promise<void> {
    await this.getZoneProxy(zone).apply(action, [PLATFORM_LINK_NAME]);
  }

  /** Adds the links of a zone; gives the base URL of the platform. */
  private async connectZone(
    proxy: ProxyProcess,
    platform: PlatformProcess,
  ): Promise<string> {
    const peerPorts: Record<string, number> = {};
    for (const {host, address, peerPort} of this.hosts) {
      const target = {address, port: peerPort};
      peerPorts[host] = await proxy.addLink(formatPeerLinkName(host), target);
    }
    const viewPort = await platform.addView(peerPorts);
    const target = {address: LOOPBACK, port: viewPort};
    const port = await proxy.addLink(PLATFORM_LINK_NAME, target);
    return `http://${LOOPBACK}:${port}`;
  }

  private requireZone(zone: string): ZoneProxy {
    const found = this.zones.get(zone);
    if (found !== undefined) return found;
    throw new Error(`no zone ${zone}`);
  }
}
