/**
 * Links of the zones of a fleet. They go through proxies, so that a test can cut
 * or delay them.
 */
import type {ListedHost, ProxyAction} from '@savoryspur/schema';
import {LOOPBACK} from '../http_stand_in.js';
import type {PlatformProcess, ProxyProcess} from './stand_in_clients.js';
import type {StandIns} from './stand_ins.js';

/** Name of the link from a zone to the platform. */
export const PLATFORM_LINK_NAME = 'platform';

/** Formats the name of the link to a daemon. */
export function formatPeerLinkName(host: string): string {
  return `peer:${host}`;
}

/** Formats the name of the link to a backend server. */
export function formatServerLinkName(server: string): string {
  return `server:${server}`;
}

/** Proxy through which the daemons of one zone reach platform and peers. */
interface ZoneProxy {
  proxy: ProxyProcess;
  /** Base URL at which the zone reaches the platform through the proxy. */
  platformUrl: string;
}

/**
 * Links from the daemons of each zone to the platform and to peers, and links to
 * backend servers.
 */
export class ZoneLinks {
  private readonly zoneProxies = new Map<string, ZoneProxy>();
  private readonly serverUrls = new Map<string, string>();

  private constructor(
    private readonly hosts: readonly ListedHost[],
    private readonly serverProxy: ProxyProcess,
  ) {}

  /**
   * Starts one proxy for each zone and one for all backend servers.
   *
   * @param standIns - stand-ins with the platform, to which the proxies are added
   * @param hosts - all daemons, with the addresses and ports they listen on
   */
  static async start(
    standIns: StandIns,
    hosts: readonly ListedHost[],
  ): Promise<ZoneLinks> {
    const links = new ZoneLinks(hosts, await standIns.startProxy());
    for (const zone of new Set(hosts.map((host) => host.zone))) {
      const proxy = await standIns.startProxy();
      const platformUrl = await links.connectZone(proxy, standIns.platform);
      links.zoneProxies.set(zone, {proxy, platformUrl});
    }
    return links;
  }

  /** Gets the proxy through which the daemons of a zone reach the others. */
  getZoneProxy(zone: string): ProxyProcess {
    return this.requireZoneProxy(zone).proxy;
  }

  /** Gets the base URL at which a zone reaches the platform. */
  getPlatformUrl(zone: string): string {
    return this.requireZoneProxy(zone).platformUrl;
  }

  /** Gets the proxy in front of all backend servers. */
  getServerProxy(): ProxyProcess {
    return this.serverProxy;
  }

  /**
   * Adds a link to a backend server, unless there is one already.
   *
   * @param server - id of the server
   * @param url - base URL that the server listens on
   * @returns base URL of the server through the proxy
   */
  async addServerLink(server: string, url: string): Promise<string> {
    const existingUrl = this.serverUrls.get(server);
    if (existingUrl !== undefined) return existingUrl;
    const {hostname, port: targetPort} = new URL(url);
    const target = {address: hostname, port: Number(targetPort)};
    const name = formatServerLinkName(server);
    const port = await this.serverProxy.addLink(name, target);
    const proxiedUrl = `http://${LOOPBACK}:${port}`;
    this.serverUrls.set(server, proxiedUrl);
    return proxiedUrl;
  }

  /**
   * Applies an action to the links between a group of zones and all other zones.
   *
   * @param zones - one availability zone, or several such as those of a region
   * @param action - what to do, such as cut or heal
   */
  async applyFaultBetweenZones(
    zones: string | readonly string[],
    action: ProxyAction,
  ): Promise<void> {
    const group = new Set(typeof zones === 'string' ? [zones] : zones);
    const inside = this.hosts.filter((host) => group.has(host.zone));
    const outside = this.hosts.filter((host) => !group.has(host.zone));
    for (const [name, {proxy}] of this.zoneProxies) {
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

  /**
   * Adds the links of a zone to all daemons and to the platform.
   *
   * @returns base URL at which the zone reaches the platform
   */
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

  private requireZoneProxy(zone: string): ZoneProxy {
    const found = this.zoneProxies.get(zone);
    if (found !== undefined) return found;
    throw new Error(`unknown zone ${zone}`);
  }
}
