/** All external systems of a test, which are started and stopped together. */
import {type Clock, SystemClock} from '@savoryspur/common';
import {
  BalancerProcess,
  EngineProcess,
  PlatformProcess,
  ProxyProcess,
  ServiceProcess,
} from './stand_in_clients.js';
import {
  type StandInArgs,
  type StandInClass,
  type StandInProcess,
  startStandIn,
} from './stand_in_process.js';

/** Stand-ins to start. */
export interface StandInsOptions {
  /** Command-line options of the platform process. */
  platform?: StandInArgs;
  /** Command-line options of each engine process. */
  engines?: readonly StandInArgs[];
  /** Command-line options of each service process. */
  services?: readonly StandInArgs[];
  /** Number of proxy processes. */
  proxies?: number;
}

/** Processes of the platform, engines, services, proxies and balancers. */
export class StandIns {
  /** Platform. */
  platform!: PlatformProcess;
  /** Engines, in the order of the options. */
  engines: EngineProcess[] = [];
  /** Services, in the order of the options. */
  services: ServiceProcess[] = [];
  /** Proxies, without links. */
  proxies: ProxyProcess[] = [];
  private readonly startedStandIns: StandInProcess[] = [];

  private constructor(private readonly clock: Clock) {}

  /**
   * Starts stand-ins. When one of them fails to start, stops the others.
   *
   * @param options - stand-ins to start
   * @param clock - clock of the timeouts
   */
  static async start(
    options: StandInsOptions = {},
    clock: Clock = new SystemClock(),
  ): Promise<StandIns> {
    const standIns = new StandIns(clock);
    try {
      await standIns.startAll(options);
    } catch (thrown) {
      await standIns.stop();
      throw thrown;
    }
    return standIns;
  }

  /** Starts one more engine. */
  startEngine(args: StandInArgs): Promise<EngineProcess> {
    return this.add(EngineProcess, 'engine_main', args);
  }

  /** Starts one more service. */
  startService(args: StandInArgs): Promise<ServiceProcess> {
    return this.add(ServiceProcess, 'service_main', args);
  }

  /** Starts one more proxy without links. */
  startProxy(): Promise<ProxyProcess> {
    return this.add(ProxyProcess, 'proxy_main', {});
  }

  /** Starts a balancer without daemons. */
  startBalancer(args: StandInArgs = {}): Promise<BalancerProcess> {
    return this.add(BalancerProcess, 'balancer_main', args);
  }

  /** Stops all stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.startedStandIns.map((standIn) => standIn.stop()));
  }

  private async startAll(options: StandInsOptions): Promise<void> {
    const {platform = {}, engines = [], services = [], proxies = 0} = options;
    const proxyArgs = Array.from({length: proxies}, () => ({}));
    const starts = await Promise.allSettled([
      this.add(PlatformProcess, 'platform_main', platform),
      this.addAll(EngineProcess, 'engine_main', engines),
      this.addAll(ServiceProcess, 'service_main', services),
      this.addAll(ProxyProcess, 'proxy_main', proxyArgs),
    ] as const);
    const [platformStart, engineStarts, serviceStarts, proxyStarts] = starts;
    this.platform = requireStarted(platformStart);
    this.engines = requireStarted(engineStarts);
    this.services = requireStarted(serviceStarts);
    this.proxies = requireStarted(proxyStarts);
  }

  private async addAll<T extends StandInProcess>(
    standInClass: StandInClass<T>,
    script: string,
    list: readonly StandInArgs[],
  ): Promise<T[]> {
    const starts = await Promise.allSettled(
      list.map((args) => this.add(standInClass, script, args)),
    );
    return starts.map((start) => requireStarted(start));
  }

  private async add<T extends StandInProcess>(
    standInClass: StandInClass<T>,
    script: string,
    args: StandInArgs,
  ): Promise<T> {
    const standIn = await startStandIn(standInClass, script, args, this.clock);
    this.startedStandIns.push(standIn);
    return standIn;
  }
}

function requireStarted<T>(start: PromiseSettledResult<T>): T {
  if (start.status === 'fulfilled') return start.value;
  throw start.reason;
}
