/** Kinds of stand-in with their typed test control. */
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

/** Parts of an object that may be left out, at each level. */
type DeepPartial<T> = {[K in keyof T]?: DeepPartial<T[K]>};

/** Faults of the platform; what is left out of a service is without fault. */
export type PlatformFaultSettings = {
  [
    service in 'table' | 'objects' | 'hosts' | 'weights'
  ]?: DeepPartial<PlatformFault>;
} & {seed?: number};

/** Misbehaviours of which single fields may be left out. */
export type FaultSettings<T> = {
  [K in keyof T]?: Exclude<T[K], undefined> extends FaultSelector
    ? Partial<FaultSelector>
    : T[K];
};

/** The platform. */
export class PlatformProcess extends StandInProcess {
  /** Sets the faults of the services that are named. */
  async setFaults(faults: PlatformFaultSettings): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /**
   * Sets the host list.
   *
   * @param hosts - all hosts
   * @param lagMs - lag of this and later changes, milliseconds
   */
  async setHosts(hosts: ListedHost[], lagMs?: number): Promise<void> {
    const query = lagMs === undefined ? '' : `?lagMs=${lagMs}`;
    await this.control.post(`/control/hosts${query}`, {hosts});
  }

  /**
   * Adds a port on which the host list shows other ports of the daemons, for
   * daemons that reach their peers through proxies.
   *
   * @param peerPorts - port for daemons by host
   * @returns the port of the whole platform with that view
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

/** A backend server. */
export class BackendProcess extends StandInProcess {
  /** Counts the requests that contain a text in address, headers or body. */
  findText(text: string): Promise<RequestSearchAnswer> {
    return this.control.post('/control/seen', {text});
  }

  /** Lists the requests by the wall time of their arrival. */
  async listArrivals(): Promise<Arrival[]> {
    const list = await this.control.get<ArrivalList>('/control/arrivals');
    if (list.dropped === 0) return list.arrivals;
    throw new Error(`${list.dropped} arrivals are no longer held`);
  }
}

/** A model engine. */
export class EngineProcess extends BackendProcess {
  /** Sets the misbehaviours that are named. */
  async setFaults(faults: FaultSettings<EngineFaults>): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /** Changes speed and capacity. */
  async adjust(tuning: EngineTuning): Promise<void> {
    await this.control.post('/control/tuning', tuning);
  }

  /**
   * Makes the engine cold without a new boot marker.
   *
   * @param graceMs - time for which too many requests do not overload it,
   *     milliseconds
   */
  async setCold(graceMs = 0): Promise<void> {
    await this.control.post('/control/cold', {graceMs});
  }

  /** Makes the engine warm. */
  async setWarm(): Promise<void> {
    await this.control.post('/control/warm');
  }

  /** Makes the engine crash; it starts anew in the same process. */
  async fail(): Promise<void> {
    await this.control.post('/control/crash');
  }

  /** Gets the counters. */
  getStats(): Promise<EngineStats> {
    return this.control.get('/control/stats');
  }
}

/** A plain service. */
export class ServiceProcess extends BackendProcess {
  /** Sets the misbehaviours that are named. */
  async setFaults(faults: FaultSettings<ServiceFaults>): Promise<void> {
    await this.control.post('/control/faults', faults);
  }

  /** Gets the counters. */
  getStats(): Promise<ServiceStats> {
    return this.control.get('/control/stats');
  }
}

/** A fault-injecting proxy with any number of links. */
export class ProxyProcess extends StandInProcess {
  /**
   * Adds a link.
   *
   * @param name - name, unique in this proxy
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
   * @param delayMs - delay, where the action is a delay, milliseconds
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

/** Ports of a daemon behind the balancer; on loopback without an address. */
export type BalancerDaemon = Omit<BalancerTarget, 'address'> &
  Partial<BalancerTarget>;

/** The balancer. */
export class BalancerProcess extends StandInProcess {
  /** Sets the daemons to choose from and checks them at once. */
  async setDaemons(daemons: readonly BalancerDaemon[]): Promise<void> {
    await this.control.post('/control/daemons', {daemons});
  }

  /** Gets the counters. */
  getStats(): Promise<BalancerStats> {
    return this.control.get('/control/stats');
  }
}
