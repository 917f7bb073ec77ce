/** Fleet of daemons in several zones, each of which runs as a process. */
import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {type Clock, SystemClock} from '@savoryspur/common';
import {ListedHostState} from '@savoryspur/schema';
import {applyEnvironment} from './apply_environment.js';
import {DaemonProcess} from './daemon_process.js';
import {
  createDaemonSettings,
  describeHost,
  type HostEndpoints,
  OPERATOR_TOKEN,
  type SettingsOverrides,
} from './daemon_settings.js';
import type {EnvironmentDocument} from './environment_document.js';
import {chooseAddress, findFreePorts} from './ports.js';
import type {StandIns} from './stand_ins.js';
import {ZoneLinks} from './zone_links.js';

/** One availability zone of a fleet. */
export interface FleetZone {
  name: string;
  region: string;
  /** Number of daemons. */
  hosts: number;
}

/** Daemons to start, their settings and their links. */
export interface FleetOptions {
  standIns: StandIns;
  zones: readonly FleetZone[];
  /** Environment document to apply; none when absent. */
  environment?: EnvironmentDocument;
  /** Settings that differ from the defaults. */
  settings?: SettingsOverrides;
  /** Whether platform, peers and backend servers are reached through proxies. */
  hasProxies?: boolean;
  /** Launcher script of the daemons; that of the daemon package when absent. */
  daemonScript?: string;
  /** Environment variables that are added to those of this process. */
  env?: Record<string, string>;
  clock?: Clock;
}

/** Environment that the daemons serve. */
const ENVIRONMENT = 'production';

/** Number of ports that each daemon listens on. */
const PORTS_PER_DAEMON = 3;

/** Daemons of several zones, started and stopped together. */
export class FleetHarness {
  /** Daemons, in the order of the zones. */
  readonly daemons: DaemonProcess[] = [];
  /** Links through proxies; undefined when the fleet has no proxies. */
  links: ZoneLinks | undefined;
  private readonly clock: Clock;
  private readonly leavingHosts = new Set<string>();
  private readonly removedHosts = new Set<string>();

  private constructor(
    private readonly options: FleetOptions,
    private readonly dir: string,
  ) {
    this.clock = options.clock ?? new SystemClock();
  }

  /**
   * Publishes the host list, starts the daemons, applies the environment document
   * and waits until all daemons are ready. Stops the daemons when one of these
   * steps fails.
   *
   * @param options - zones, document, settings and links
   */
  static async start(options: FleetOptions): Promise<FleetHarness> {
    const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'savoryspur-fleet-'));
    const fleet = new FleetHarness(options, dir);
    try {
      await fleet.startAll();
    } catch (thrown) {
      await fleet.stop();
      throw thrown;
    }
    return fleet;
  }

  /** Lists the base URLs for callers of all daemons. */
  listCallerUrls(): string[] {
    return this.daemons.map((daemon) => daemon.callerUrl);
  }

  /** Lists the daemons of a zone. */
  listDaemons(zone: string): DaemonProcess[] {
    return this.daemons.filter((daemon) => daemon.zone === zone);
  }

  /**
   * Applies an environment document through one daemon.
   *
   * @param document - document to apply; when the fleet has proxies, its servers
   *     are put behind them
   * @param daemon - daemon to call; the first when absent
   * @returns the new version of the environment
   */
  async apply(
    document: EnvironmentDocument,
    daemon: DaemonProcess = this.daemons[0]!,
  ): Promise<number> {
    const context = {
      url: daemon.callerUrl,
      token: OPERATOR_TOKEN,
      environment: ENVIRONMENT,
    };
    return applyEnvironment(context, await this.replaceServerUrls(document));
  }

  /** Marks a host as leaving in the host list. */
  async markLeaving(host: string): Promise<void> {
    this.leavingHosts.add(host);
    await this.publishHosts();
  }

  /** Removes a host from the host list, as if its machine had been shut down. */
  async removeHost(host: string): Promise<void> {
    this.removedHosts.add(host);
    await this.publishHosts();
  }

  /** Adds a removed or leaving host to the host list as a live one. */
  async addHost(host: string): Promise<void> {
    this.removedHosts.delete(host);
    this.leavingHosts.delete(host);
    await this.publishHosts();
  }

  /** Stops all daemons and deletes their settings files. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    await fs.rm(this.dir, {recursive: true, force: true});
  }

  private async startAll(): Promise<void> {
    const fleetEndpoints = await this.reserveEndpoints();
    const hosts = fleetEndpoints.map((endpoints) =>
      describeHost(endpoints, ListedHostState.LIVE),
    );
    if (this.options.hasProxies === true) {
      this.links = await ZoneLinks.start(this.options.standIns, hosts);
    }
    for (const endpoints of fleetEndpoints)
      this.daemons.push(this.createDaemon(endpoints));
    await this.publishHosts();
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    const {environment} = this.options;
    if (environment !== undefined) {
      await this.apply(environment);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.waitReady()));
  }

  private async reserveEndpoints(): Promise<HostEndpoints[]> {
    const {zones} = this.options;
    const count = zones.reduce((sum, zone) => sum + zone.hosts, 0);
    const address = await chooseAddress();
    const ports = await findFreePorts(count * PORTS_PER_DAEMON, address);
    return zones.flatMap((zone) =>
      Array.from({length: zone.hosts}, (unused, index) => ({
        host: {
          id: `${zone.name}-${index + 1}`,
          zone: zone.name,
          region: zone.region,
          environment: ENVIRONMENT,
        },
        listen: {
          address,
          callerPort: ports.pop()!,
          peerPort: ports.pop()!,
          opsPort: ports.pop()!,
        },
      })),
    );
  }

  private createDaemon(endpoints: HostEndpoints): DaemonProcess {
    const {standIns, settings = {}, env, daemonScript} = this.options;
    const platformUrl =
      this.links?.getPlatformUrl(endpoints.host.zone) ?? standIns.platform.url;
    const daemonSettings = createDaemonSettings(
      {...endpoints, platformUrl},
      settings,
    );
    return new DaemonProcess(
      {settings: daemonSettings, dir: this.dir, env, script: daemonScript},
      this.clock,
    );
  }

  private async publishHosts(): Promise<void> {
    const listed = this.daemons.filter((d) => !this.removedHosts.has(d.host));
    const hosts = listed.map((daemon) => {
      const isLeaving = this.leavingHosts.has(daemon.host);
      const {LEAVING, LIVE} = ListedHostState;
      return daemon.describe(isLeaving ? LEAVING : LIVE);
    });
    await this.options.standIns.platform.setHosts(hosts);
  }

  private async replaceServerUrls(
    document: EnvironmentDocument,
  ): Promise<EnvironmentDocument> {
    if (this.links === undefined) return document;
    const servers = [];
    for (const server of document.servers ?? []) {
      const url = await this.links.addServerLink(server.id, server.url);
      servers.push({...server, url});
    }
    return {...document, servers};
  }
}
