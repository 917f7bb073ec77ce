/**
 * A test site on this machine: a fleet of daemons, backend servers and storage
 * as stand-ins, and the environment document that describes them.
 */
import {PoolKind} from '@savoryspur/schema';
import {
  createKeyEntry,
  type EnvironmentDocument,
  FleetHarness,
  type SettingsOverrides,
  StandIns,
} from '@savoryspur/testkit';

/** Options of a test site. */
export interface SiteOptions {
  /** Names of the availability zones. */
  zones: string[];
  /** Number of daemons in each zone. */
  hostsPerZone: number;
  /** Number of inference engines in each zone. */
  enginesPerZone: number;
  /** Number of plain HTTP services in each zone. */
  servicesPerZone: number;
  /** Command-line options of each engine stand-in. */
  engineArgs?: Record<string, string | number | boolean>;
  /** Settings of the daemons that differ from those of the test harness. */
  settings?: SettingsOverrides;
  /** Whether links run through proxies that can inject network faults. */
  hasProxies?: boolean;
  /** Changes the environment document before it is applied. */
  adjustDocument?: (document: EnvironmentDocument) => void;
  /** Environment variables of the daemons. */
  env?: Record<string, string>;
}

/** A workspace of a test site with the secret of its caller's key. */
export interface SiteWorkspace {
  name: string;
  secret: string;
}

/** Region of all zones of a test site. */
const REGION = 'lower-mainland';

/** Name of the model that callers request. */
export const SITE_MODEL = 'lot-assistant';

/** Workspaces of a test site whose callers have keys. */
export const SITE_WORKSPACES: readonly SiteWorkspace[] = [
  {name: 'hospital-lots', secret: 'ssp_hospital-lots-caller-secret'},
  {name: 'kitchen-buyers', secret: 'ssp_kitchen-buyers-caller-secret'},
];

/** A running test site. */
export class Site {
  private constructor(
    readonly standIns: StandIns,
    readonly fleet: FleetHarness,
    readonly document: EnvironmentDocument,
  ) {}

  /** Starts the stand-ins and daemons and applies the environment document. */
  static async start(options: SiteOptions): Promise<Site> {
    const zoneCount = options.zones.length;
    const standIns = await StandIns.start({
      engines: Array.from(
        {length: zoneCount * options.enginesPerZone},
        () => options.engineArgs ?? {},
      ),
      services: Array.from(
        {length: zoneCount * options.servicesPerZone},
        () => ({}),
      ),
    });
    try {
      const document = createDocument(options, standIns);
      options.adjustDocument?.(document);
      const fleet = await FleetHarness.start({
        standIns,
        zones: options.zones.map((name) => ({
          name,
          region: REGION,
          hosts: options.hostsPerZone,
        })),
        environment: document,
        settings: options.settings,
        hasProxies: options.hasProxies,
        env: options.env,
      });
      return new Site(standIns, fleet, document);
    } catch (thrown) {
      await standIns.stop();
      throw thrown;
    }
  }

  /** Stops the daemons, then the stand-ins. */
  async stop(): Promise<void> {
    await this.fleet.stop();
    await this.standIns.stop();
  }
}

/** Builds the environment document of a test site. */
function createDocument(
  options: SiteOptions,
  standIns: StandIns,
): EnvironmentDocument {
  const {zones} = options;
  const getZone = (index: number): string => zones[index % zones.length]!;
  const engines = standIns.engines.map((engine, index) => ({
    id: `assistant-${index + 1}`,
    pool: 'assistant',
    zone: getZone(index),
    url: engine.url,
  }));
  const services = standIns.services.map((service, index) => ({
    id: `ledger-${index + 1}`,
    pool: 'ledger',
    zone: getZone(index),
    url: service.url,
  }));
  return {
    name: 'fraser-valley',
    zones: zones.map((name) => ({
      name,
      region: REGION,
      slots: options.hostsPerZone,
    })),
    pools: [
      {
        name: 'assistant',
        kind: PoolKind.ENGINE,
        warmCapacity: 16,
        coldCapacity: 2,
      },
      {
        name: 'ledger',
        kind: PoolKind.SERVICE,
        warmCapacity: 32,
        coldCapacity: 4,
      },
    ],
    servers: [...engines, ...services],
    models: [{name: SITE_MODEL, pool: 'assistant'}],
    workspaces: [
      {name: 'hospital-lots', rate: 200, burst: 400, weight: 3},
      {name: 'kitchen-buyers', rate: 100, burst: 200},
      {name: 'public-desk', rate: 10, burst: 20},
    ],
    keys: SITE_WORKSPACES.map(({name, secret}) =>
      createKeyEntry(name, name, secret),
    ),
    routes: [
      {path: '/ledger/invoices', pool: 'ledger', idempotent: false},
      {path: '/ledger/grades', pool: 'ledger', idempotent: true},
      {
        path: '/ledger/hours',
        pool: 'ledger',
        idempotent: true,
        open: true,
        workspace: 'public-desk',
      },
    ],
  };
}
