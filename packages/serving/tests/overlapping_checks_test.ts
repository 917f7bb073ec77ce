import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {expect} from 'chai';
import type {EnvironmentView} from '../src/environment.js';
import {
  type ForwardingOptions,
  ForwardingServerCaller,
} from '../src/forwarding/forwarding_server_caller.js';
import type {BackendServer} from '../src/service_registry.js';

const FIRST = {id: 'first', zone: 'zone-a'} as BackendServer;
const SECOND = {id: 'second', zone: 'zone-a'} as BackendServer;

/** Connect in progress. */
interface Connect {
  id: string;
  settle: (isAccepted: boolean) => void;
}

describe('checks of two servers at the same time', () => {
  let connects: Connect[];
  let servers: ForwardingServerCaller;

  /** Settles the connects in progress to a server. */
  async function settleConnects(
    id: string,
    isAccepted: boolean,
  ): Promise<void> {
    for (const connect of connects) {
      if (connect.id === id) connect.settle(isAccepted);
    }
    connects = connects.filter((connect) => connect.id !== id);
    await new Promise(setImmediate);
  }

  beforeEach(() => {
    connects = [];
    const environment = {document: {services: [{name: 'model'}]}};
    servers = new ForwardingServerCaller({
      direct: {
        isReachable: () => true,
        isCutOff: () => false,
        probe: ({id}: BackendServer) =>
          new Promise<boolean>((settle) => connects.push({id, settle})),
      } as unknown as ForwardingOptions['direct'],
      peers: {
        choose: () => undefined,
      } as unknown as ForwardingOptions['peers'],
      registry: {
        getEnvironment: () => environment as unknown as EnvironmentView,
        listServers: () => [FIRST, SECOND],
      } as unknown as ForwardingOptions['registry'],
      clock: new ManualClock(),
      log: new MemoryEventLog(),
      random: () => 0,
    } as Partial<ForwardingOptions> as ForwardingOptions);
  });

  it('find both down when the second one crashes while the first one is checked', async () => {
    const first = servers.probe(FIRST);
    await settleConnects(SECOND.id, true);
    const second = servers.probe(SECOND);
    await settleConnects(SECOND.id, false);
    await settleConnects(FIRST.id, false);
    await settleConnects(SECOND.id, false);
    expect(await first).to.equal(false);
    expect(await second).to.equal(false);
  });

  it('find neither down when no server accepts a connection', async () => {
    const first = servers.probe(FIRST);
    const second = servers.probe(SECOND);
    await settleConnects(FIRST.id, false);
    await settleConnects(SECOND.id, false);
    expect(await first).to.equal(true);
    expect(await second).to.equal(true);
  });
});
