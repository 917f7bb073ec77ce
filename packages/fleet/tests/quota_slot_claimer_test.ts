import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {expect} from 'chai';
import {HostDirectory} from '../src/host_directory.js';
import {QuotaSlotClaimer} from '../src/quota_slot_claimer.js';
import {
  createEnvironment,
  ReplaceableEnvironment,
  MemoryHostList,
  MemoryTable,
} from './fakes.js';

const TAKEOVER_MS = 1000;
const TERM_MS = 300;
const PERIOD_MS = 100;

describe('QuotaSlotClaimer', () => {
  let clock: ManualClock;
  let table: MemoryTable;
  let hostList: MemoryHostList;
  let directory: HostDirectory;

  function createClaimer(host: string, incarnation = '1'): QuotaSlotClaimer {
    return new QuotaSlotClaimer({
      clock,
      log: new MemoryEventLog(),
      table,
      environment: new ReplaceableEnvironment(createEnvironment({'zone-a': 4})),
      directory,
      host,
      incarnation,
      zone: 'zone-a',
      getTakeoverMs: () => TAKEOVER_MS,
      getPeriodMs: () => PERIOD_MS,
      getTermMs: () => TERM_MS,
      listLiveHosts: () => [...hostList.hosts.keys()],
      onSlotsReleased: () => undefined,
      getLastExpiryMs: () => 0,
    });
  }

  function addHost(host: string): void {
    const location = {zone: 'zone-a', region: 'r', address: '127.0.0.1'};
    hostList.add({host, ...location, peerPort: 1, incarnation: ''});
  }

  async function advance(claimer: QuotaSlotClaimer, ms: number): Promise<void> {
    clock.advance(ms);
    await directory.update();
    await claimer.update();
  }

  beforeEach(async () => {
    clock = new ManualClock();
    table = new MemoryTable();
    hostList = new MemoryHostList();
    directory = new HostDirectory(hostList, clock, 1000);
    addHost('a');
    addHost('b');
    await directory.update();
    await createClaimer('a').update();
  });

  it('claims an even part and waits before it uses the slots', async () => {
    const claimer = createClaimer('b');
    await claimer.update();
    expect(claimer.countHeld()).to.equal(2);
    expect(claimer.countUsable()).to.equal(0);
    clock.advance(PERIOD_MS);
    expect(claimer.countUsable()).to.equal(2);
    expect(claimer.isFresh()).to.equal(true);
  });

  it('takes over slots only after their host was absent for the takeover time', async () => {
    const claimer = createClaimer('b');
    await claimer.update();
    hostList.hosts.delete('a');
    for (const waitMs of [100, 400, 400]) {
      await advance(claimer, waitMs);
      expect(claimer.countHeld()).to.equal(2);
    }
    await advance(claimer, 200);
    await advance(claimer, 1);
    expect(claimer.countHeld()).to.equal(4);
  });

  it('claims the slots of its older incarnation and uses them after a term', async () => {
    const claimer = createClaimer('a', '2');
    await claimer.update();
    expect(claimer.countHeld()).to.equal(2);
    clock.advance(TERM_MS - 1);
    expect(claimer.countUsable()).to.equal(0);
    clock.advance(1);
    expect(claimer.countUsable()).to.equal(2);
    expect(claimer.isFresh()).to.equal(false);
  });

  it('uses no slots after an event-loop pause before it has read the row again', async () => {
    const claimer = createClaimer('b');
    await claimer.update();
    clock.advance(TAKEOVER_MS);
    expect(claimer.countUsable()).to.equal(0);
    table.isUnavailable = true;
    await claimer.update();
    expect(claimer.countUsable()).to.equal(0);
    table.isUnavailable = false;
    await claimer.update();
    expect(claimer.countUsable()).to.equal(2);
  });
});
