/** Stand-in processes by kind, with typed clients of their control APIs. */
import type {
  Arrival,
  ArrivalList,
  BalancerStats,
  BalancerTarget,
  EngineFaults,
  EngineStats,
  EngineTuning,
  FaultSelector,
  ListedHost,
  PlatformFault,
  PlatformStats,
  PortAnswer,
  ProxyAction,
  ProxyStats,
  RequestSearchAnswer,
  ServiceFaults,
  ServiceStats,
} from '@savoryspur/schema';
import type {ProxyTarget} from '../proxy/proxy_link.js';
import {StandInProcess} from './stand_in_process.js';

/** Type whose fields may be left out at each level. */
type DeepPartial<T> = {[K in keyof T]?: DeepPartial<T[K]>};

/**
 * Faults of the platform by service. A service that is left out keeps its faults;
 * a fault that is left out of a given service is cleared.
 */
export type PlatformFaultSettings = {
  [
    service in 'table' | 'objects' | 'hosts' | 'weights'
  ]?: DeepPartial<PlatformFault>;
} & {seed?: number};

/** Faults whose selectors may have fields left out. */
export type FaultSettings<T> = {
  [K in keyof T]?: Exclude<T[K], undefined> extends FaultSelector
    ? Partial<FaultSelector>
    : T[K];
};

/** Process of the platform stand-in. */
export class PlatformProcess extends StandInProcess {
  /** Replaces the faults of the given services. */
  async setFaults(faults: PlatformFaultSettings): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /**
   * Sets the host list.
   *
   * @param hosts - all hosts
   * @param lagMs - delay until this change and later ones are visible,
   *     milliseconds; the earlier delay when absent
   */
  async setHosts(hosts: ListedHost[], lagMs?: number): Promise<void> {
    const query = lagMs === undefined ? '' : `?lagMs=${lagMs}`;
    await this.control.post(`/control/hosts${query}`, {hosts});
  }

  /**
   * Adds a port on which the platform's host list shows other peer ports, for
   * daemons that reach their peers through proxies.
   *
   * @param peerPorts - shown ports for peer calls, by host
   * @returns port on which the whole platform is served with this host list
   */
  async addView(peerPorts: Record<string, number>): Promise<number> {
    const answer = await this.control.post<PortAnswer>('/control/views', {
      peerPorts,
    });
    return answer.port;
  }

  /** Gets the counters. */
  getStats(): Promise<PlatformStats> {
    return this.control.get('/control/stats');
  }
}

/** Process of a backend server stand-in. */
export class BackendProcess extends StandInProcess {
  /** Counts the recorded requests whose URL, headers or body contain a text. */
  findText(text: string): Promise<RequestSearchAnswer> {
    return this.control.post('/control/seen', {text});
  }

  /** Lists the arrivals of requests with their wall times. */
  async listArrivals(): Promise<Arrival[]> {
    const list = await this.control.get<ArrivalList>('/control/arrivals');
    if (list.dropped === 0) return list.arrivals;
    throw new Error(
      `${list.dropped} arrivals were not recorded: the record is full`,
    );
  }
}

/** Process of a model engine stand-in. */
export class EngineProcess extends BackendProcess {
  /** Sets the faults that are given; the others stay as they are. */
  async setFaults(faults: FaultSettings<EngineFaults>): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /** Changes the speed and capacity fields that are given. */
  async adjust(tuning: EngineTuning): Promise<void> {
    await this.control.post('/control/tuning', tuning);
  }

  /**
   * Makes the engine cold without a new boot marker.
   *
   * @param graceMs - grace period in which more requests than the cold capacity
   *     do not crash the engine, milliseconds
   */
  async setCold(graceMs = 0): Promise<void> {
    await this.control.post('/control/cold', {graceMs});
  }

  /** Makes the engine warm. */
  async setWarm(): Promise<void> {
    await this.control.post('/control/warm');
  }

  /** Makes the engine simulate a crash; it restarts in the same process. */
  async fail(): Promise<void> {
    await this.control.post('/control/crash');
  }

  /** Gets the counters. */
  getStats(): Promise<EngineStats> {
    return this.control.get('/control/stats');
  }
}

/** Process of a plain service stand-in. */
export class ServiceProcess extends BackendProcess {
  /** Sets the faults that are given; the others stay as they are. */
  async setFaults(faults: FaultSettings<ServiceFaults>): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /** Gets the counters. */
  getStats(): Promise<ServiceStats> {
    return this.control.get('/control/stats');
  }
}

/** Process of a fault-injecting proxy with any number of links. */
export class ProxyProcess extends StandInProcess {
  /**
   * Adds a link.
   *
   * @param name - name of the link, unique in this proxy
   * @param target - address and port to forward to
   * @returns the port that the link listens on
   */
  async addLink(name: string, target: ProxyTarget): Promise<number> {
    const {address, port} = target;
    const link = {name, targetAddress: address, targetPort: port};
    const answer = await this.control.post<PortAnswer>('/control/links', link);
    return answer.port;
  }

  /**
   * Applies an action to links.
   *
   * @param action - what to do
   * @param links - names of the links; all when absent
   * @param delayMs - delay, for the delay action only, milliseconds
   */
  async apply(
    action: ProxyAction,
    links?: readonly string[],
    delayMs?: number,
  ): Promise<void> {
    await this.control.post('/control/faults', {action, links, delayMs});
  }

  /** Gets the counters. */
  getStats(): Promise<ProxyStats> {
    return this.control.get('/control/stats');
  }
}

/** Daemon behind the load balancer; on loopback when it has no address. */
export type BalancerDaemon = Omit<BalancerTarget, 'address'> &
  Partial<BalancerTarget>;

/** Process of the load balancer stand-in. */
export class BalancerProcess extends StandInProcess {
  /** Replaces the daemons and checks their readiness at once. */
  async setDaemons(daemons: readonly BalancerDaemon[]): Promise<void> {
    await this.control.post('/control/daemons', {daemons});
  }

  /** Gets the counters. */
  getStats(): Promise<BalancerStats> {
    return this.control.get('/control/stats');
  }
}
