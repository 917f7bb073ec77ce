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

describe('SlotKeeper', () => {
  let clock: ManualClock;
  let table: MemoryTable;
  let hostList: MemoryHostList;
  let directory: HostDirectory;

  function createKeeper(host: string, incarnation = '1'): QuotaSlotClaimer {
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
      onReleased: () => undefined,
      getLastLapseMs: () => 0,
    });
  }

  function addHost(host: string): void {
    const place = {zone: 'zone-a', region: 'r', address: '127.0.0.1'};
    hostList.add({host, ...place, peerPort: 1, incarnation: ''});
  }

  async function advance(keeper: QuotaSlotClaimer, ms: number): Promise<void> {
    clock.advance(ms);
    await directory.update();
    await keeper.update();
  }

  beforeEach(async () => {
    clock = new ManualClock();
    table = new MemoryTable();
    hostList = new MemoryHostList();
    directory = new HostDirectory(hostList, clock, 1000);
    addHost('a');
    addHost('b');
    await directory.update();
    await createKeeper('a').update();
  });

  it('takes its even part and waits before it uses slots', async () => {
    const keeper = createKeeper('b');
    await keeper.update();
    expect(keeper.countHeld()).to.equal(2);
    expect(keeper.countUsable()).to.equal(0);
    clock.advance(PERIOD_MS);
    expect(keeper.countUsable()).to.equal(2);
    expect(keeper.isFresh()).to.equal(true);
  });

  it('takes over slots only when their host was absent for long', async () => {
    const keeper = createKeeper('b');
    await keeper.update();
    hostList.hosts.delete('a');
    for (const waitMs of [100, 400, 400]) {
      await advance(keeper, waitMs);
      expect(keeper.countHeld()).to.equal(2);
    }
    await advance(keeper, 200);
    await advance(keeper, 1);
    expect(keeper.countHeld()).to.equal(4);
  });

  it('takes the slots of its older run, and uses them after a term', async () => {
    const keeper = createKeeper('a', '2');
    await keeper.update();
    expect(keeper.countHeld()).to.equal(2);
    clock.advance(TERM_MS - 1);
    expect(keeper.countUsable()).to.equal(0);
    clock.advance(1);
    expect(keeper.countUsable()).to.equal(2);
    expect(keeper.isFresh()).to.equal(false);
  });

  it('uses no slots after a pause before it has read them again', async () => {
    const keeper = createKeeper('b');
    await keeper.update();
    clock.advance(TAKEOVER_MS);
    expect(keeper.countUsable()).to.equal(0);
    table.isUnavailable = true;
    await keeper.update();
    expect(keeper.countUsable()).to.equal(0);
    table.isUnavailable = false;
    await keeper.update();
    expect(keeper.countUsable()).to.equal(2);
  });
});
