import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import {createStopController} from '../src/create_stop_controller.js';
import {RequestQuarantine} from '../src/online/request_quarantine.js';
import {
  computeStandaloneShare,
  computeOwnerShare,
} from '../src/peers/fleet_share.js';
import {Membership} from '../src/peers/membership.js';
import type {
  RowStore,
  RowTransaction,
  TableRow,
} from '../src/store/row_store.js';

/** Daemons of the fleets under test. */
const DAEMONS = 12;

/** Daemons of the part that is cut off. */
const CUT_DAEMONS = 4;

/** Step of the schedules, milliseconds: a heartbeat and a half. */
const STEP_MS = 1500;

/** Allowed beyond the whole: the users' tenth. */
const ALLOWED_SHARE = 1.1;

/** Rows that several daemons share, some of which are cut off. */
class SharedRows {
  private readonly rows = new Map<string, TableRow>();
  private version = 0;

  /** Makes the store as one daemon reaches it. */
  connect(isCut: () => boolean): RowStore {
    const fail = () =>
      errAsync(
        new SavoryspurError(
          ErrorCode.UNAVAILABLE,
          {step: 'store', peer: 'store'},
          'cut off',
        ),
      );
    return {
      transact: (transaction) =>
        isCut()
          ? fail()
          : okAsync({isCommitted: this.apply(transaction), conflicts: []}),
      read: () =>
        isCut()
          ? fail()
          : okAsync({
              rows: [...this.rows.values()],
              hasMore: false,
              version: this.version,
            }),
      listParts: () => okAsync(['']),
      watch: () => okAsync({rows: [], version: this.version}),
      now: () => undefined,
    };
  }

  private apply(transaction: RowTransaction): boolean {
    for (const {key, version} of transaction.conditions) {
      if ((this.rows.get(key)?.version ?? 0) !== version) return false;
    }
    this.version += 1;
    for (const write of transaction.writes) {
      this.rows.set(write.key, {...write, version: this.version});
    }
    for (const {key} of transaction.removals ?? []) this.rows.delete(key);
    return true;
  }
}

describe('shares of the limits of the fleet', () => {
  let clock: ManualClock;
  let stop: AbortController;
  let cut: Set<number>;
  let fleet: Membership[];

  beforeEach(async () => {
    clock = new ManualClock();
    stop = createStopController();
    cut = new Set();
    const rows = new SharedRows();
    fleet = Array.from({length: DAEMONS}, (unused, index) => {
      const members = new Membership({
        self: createPeer(index),
        cores: 1,
        store: rows.connect(() => cut.has(index)),
        clock,
        log: new MemoryEventLog(),
        crashes: new RequestQuarantine(clock),
      });
      void members.run(stop.signal);
      return members;
    });
    await advance(6000);
  });
  afterEach(() => stop.abort());

  async function advance(totalMs: number): Promise<void> {
    for (let ms = 0; ms < totalMs; ms += 250) {
      clock.advance(250);
      await new Promise(setImmediate);
    }
  }

  /** Computes the parts of the two owners, one on each side of a cut. */
  function computeSides(): number[] {
    const near = fleet[DAEMONS - 1]!.getMembershipView();
    const far = fleet[0]!.getMembershipView();
    return [
      computeOwnerShare(DAEMONS - CUT_DAEMONS, near),
      computeOwnerShare(CUT_DAEMONS, far),
    ];
  }

  function startCut(): void {
    for (let index = 0; index < CUT_DAEMONS; index++) cut.add(index);
  }

  it('add up to the whole in a fleet that is in touch', () => {
    const view = fleet[0]!.getMembershipView();
    expect(computeOwnerShare(DAEMONS, view)).to.equal(1);
    expect(computeStandaloneShare(view) * DAEMONS).to.be.below(1);
  });

  it('stay within the whole on both sides of a cut, however long', async () => {
    startCut();
    for (let step = 0; step < 40; step++) {
      await advance(STEP_MS);
      const [near = 0, far = 0] = computeSides();
      expect(near + far, `after ${step} steps`).to.be.at.most(ALLOWED_SHARE);
    }
    expect(computeSides()[0], 'whole again').to.equal(1);
  });

  it('give the whole back once the cut heals', async () => {
    startCut();
    await advance(10_000);
    cut.clear();
    await advance(3000);
    for (const members of fleet) {
      expect(computeOwnerShare(DAEMONS, members.getMembershipView())).to.equal(
        1,
      );
    }
  });

  it('stay whole while the store is away for all', async () => {
    for (let index = 0; index < DAEMONS; index++) cut.add(index);
    await advance(60_000);
    expect(computeOwnerShare(DAEMONS, fleet[0]!.getMembershipView())).to.equal(
      1,
    );
  });

  it('are nothing before the fleet is known', () => {
    const members = new Membership({
      self: createPeer(0),
      cores: 1,
      store: new SharedRows().connect(() => true),
      clock,
      log: new MemoryEventLog(),
      crashes: new RequestQuarantine(clock),
    });
    expect(computeOwnerShare(1, members.getMembershipView())).to.equal(0);
    expect(computeStandaloneShare(members.getMembershipView())).to.equal(0);
  });
});

function createPeer(index: number): PeerInfo {
  return {
    host: `host-${index}`,
    zone: index < CUT_DAEMONS ? 'zone-a' : 'zone-b',
    region: 'region',
    address: '127.0.0.1',
    peerPort: 1000 + index,
    incarnation: `run-${index}`,
  };
}
