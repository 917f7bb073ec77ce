import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import type {BackendServer} from '../src/service_registry.js';
import {LocalSlots} from '../src/slots/local_slots.js';

const SERVERS = 4;

describe('LocalSlots with workspaces', () => {
  const servers = Array.from(
    {length: SERVERS},
    (unused, index) =>
      ({
        id: `s-${index}`,
        zone: 'z',
        slots: 8,
        coldUntilMs: 0,
      }) as BackendServer,
  );
  let slots: LocalSlots;

  beforeEach(() => {
    slots = new LocalSlots(() => 0.5);
  });

  function acquire(workspace: string, nowMs = 0): BackendServer | undefined {
    const options = {
      zone: 'z',
      daemons: 100,
      coldRequestsPerSecond: Infinity,
      isBatch: false,
      workspace,
      excluded: [],
      unreachableZones: [],
    };
    return slots.acquire(servers, options, nowMs);
  }

  /** Asks for a slot until one is refused; returns the servers. */
  function acquireAll(workspace: string, nowMs = 0): BackendServer[] {
    const granted: BackendServer[] = [];
    for (;;) {
      const server = acquire(workspace, nowMs);
      if (!server) return granted;
      granted.push(server);
    }
  }

  // Guards against one workspace that takes every slot of a daemon without an owner.
  it('leaves half of the slots to others while they ask', () => {
    expect(acquire('other')).not.to.equal(undefined);
    expect(acquireAll('hot')).to.have.length(4);
    expect(acquire('other')).not.to.equal(undefined);
  });

  it('gives one workspace all slots while no other one asks', () => {
    acquire('other');
    expect(acquireAll('hot', 2000)).to.have.length(7);
  });

  it('counts released slots no longer', () => {
    acquire('other');
    for (const {id} of acquireAll('hot'))
      slots.release(id, CallOutcome.SUCCEEDED, 10, 0, 'hot');
    expect(acquireAll('hot')).to.have.length(4);
  });
});
