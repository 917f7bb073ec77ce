import {ManualClock, MemoryEventLog, ServingEvent} from '@savoryspur/common';
import {expect} from 'chai';
import {EnvironmentView} from '../src/environment.js';
import {
  type BackendServer,
  ServerReadOutcome,
  type ServiceRegistry,
} from '../src/service_registry.js';
import {PoolOwner} from '../src/slots/pool_owner.js';
import {RefusalReason} from '../src/slots/pool_types.js';

const SLOTS = 8;

const SERVER: BackendServer = {
  id: 's',
  service: 'llm',
  address: '127.0.0.1:1',
  zone: 'z',
  softwareVersion: 'v1',
  slots: SLOTS,
  isDraining: false,
  coldUntilMs: 0,
};

const ENVIRONMENT = new EnvironmentView({
  version: 1,
  routes: [],
  services: [{name: 'llm', maxConnections: 100, coldRequestsPerSecond: 0}],
  workspaces: ['hot', 'other'].map((name) => ({
    name,
    apiKeys: [],
    ratePerSecond: 10,
    burst: 10,
  })),
  bounds: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

const REGISTRY: ServiceRegistry<EnvironmentView> = {
  getEnvironment: () => ENVIRONMENT,
  listServers: () => [SERVER],
  findServer: () => SERVER,
  listVersions: () => [],
  readVersions: () => Promise.resolve(ServerReadOutcome.UNCHANGED),
  listLeaving: () => [],
  recordAnswer: () => undefined,
};

const MEMBERSHIP = {
  getMembershipView: () => ({daemons: 1, isPossiblyEvicted: false}),
};

describe('PoolOwner that refuses requests', () => {
  let clock: ManualClock;
  let log: MemoryEventLog;
  let owner: PoolOwner;
  let nextId = 0;

  beforeEach(() => {
    clock = new ManualClock();
    log = new MemoryEventLog();
    owner = new PoolOwner('llm', MEMBERSHIP, REGISTRY, clock, log);
  });

  function acquire(workspace: string, dueInMs = 1e6): string {
    nextId += 1;
    const nowMs = clock.now();
    return owner.acquire({
      grantId: `g-${nextId}`,
      holder: 'host',
      zone: 'z',
      isBatch: false,
      workspace,
      priority: 0,
      dueMs: nowMs + dueInMs,
      fastRefusalUntilMs: nowMs + dueInMs,
      waitDeadlineMs: nowMs + dueInMs,
      prefix: [],
      excluded: [],
    }).kind;
  }

  function countEvents(id: ServingEvent): number {
    return log.records.filter(({event}) => event === id).length;
  }

  // Guards against one workspace that fills the wait queue.
  it('bounds the part of the queue of one workspace while others wait, and tells of it', async () => {
    for (let index = 0; index < SLOTS; index += 1) acquire('hot');
    expect(acquire('other')).to.equal('queued');
    for (let index = 0; index < SLOTS; index += 1) {
      expect(acquire('hot')).to.equal('queued');
    }
    expect(acquire('hot')).to.equal('refused');
    expect(acquire('hot')).to.equal('refused');
    expect(acquire('other')).to.equal('queued');
    expect(owner.countRefusals(RefusalReason.QUEUE_PART_USED)).to.equal(2);
    expect(owner.getLargestShare()).to.equal(0.8);
    expect(countEvents(ServingEvent.POOL_OVERLOADED)).to.equal(1);
    await clock.advance(6000);
    void owner.sync({host: 'host', zone: 'z'}, [], 1);
    expect(countEvents(ServingEvent.POOL_OVERLOAD_ENDED)).to.equal(1);
  });

  it('counts refusals by their reasons', () => {
    for (let index = 0; index < SLOTS; index += 1) acquire('hot');
    expect(acquire('hot', 50)).to.equal('refused');
    expect(owner.countRefusals(RefusalReason.TOO_LATE)).to.equal(1);
    expect(owner.countRefusals(RefusalReason.QUEUE_PART_USED)).to.equal(0);
  });
});
