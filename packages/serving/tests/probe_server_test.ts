import {expect} from 'chai';
import type {EnvironmentView} from '../src/environment.js';
import {probeServer} from '../src/forwarding/probe_server.js';
import type {BackendServer} from '../src/service_registry.js';

function createServer(id: string, zone: string): BackendServer {
  return {
    id,
    service: 'model',
    address: '127.0.0.1:1',
    zone,
    softwareVersion: 'v1',
    slots: 1,
    isDraining: false,
    coldUntilMs: 0,
  };
}

const PROBED = createServer('probed', 'zone-a');
const NEAR = createServer('near', 'zone-a');
const FAR = createServer('far', 'zone-b');

interface ProbeCase {
  name: string;
  servers: BackendServer[];
  accepting: string[];
  /** Ids of servers that are known to be down. */
  down?: string[];
  expected: boolean | undefined;
}

const CASES: ProbeCase[] = [
  {
    name: 'is reachable when it accepts a connection',
    servers: [PROBED, NEAR],
    accepting: ['probed'],
    expected: true,
  },
  {
    name: 'is not reachable when only another one of its zone is',
    servers: [PROBED, NEAR, FAR],
    accepting: ['near', 'far'],
    expected: false,
  },
  {
    name: 'is in doubt when no server is reachable',
    servers: [PROBED, NEAR, FAR],
    accepting: [],
    expected: undefined,
  },
  {
    name: 'is in doubt when only servers of another zone are reachable',
    servers: [PROBED, NEAR, FAR],
    accepting: ['far'],
    expected: undefined,
  },
  {
    name: 'is compared with another zone when it is alone in its own',
    servers: [PROBED, FAR],
    accepting: ['far'],
    expected: false,
  },
  {
    name: 'is not reachable when all others are known to be down',
    servers: [PROBED, NEAR],
    accepting: [],
    down: ['near'],
    expected: false,
  },
  {
    name: 'is not reachable when there is no other to compare with',
    servers: [PROBED],
    accepting: [],
    expected: false,
  },
];

describe('a probed server', () => {
  for (const {name, servers, accepting, down, expected} of CASES) {
    it(name, async () => {
      const environment = {document: {services: [{name: 'model'}]}};
      const isReachable = await probeServer(
        {
          direct: {
            probe: ({id}) => Promise.resolve(accepting.includes(id)),
            isReachable: () => true,
          },
          registry: {
            getEnvironment: () => environment as unknown as EnvironmentView,
            listServers: () => servers,
          },
          isDown: (id) => down?.includes(id) === true,
          random: () => 0,
        },
        PROBED,
      );
      expect(isReachable).to.equal(expected);
    });
  }
});
