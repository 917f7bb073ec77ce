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

/** Number of daemons of the fleet under test. */
const DAEMONS = 12;

/** Number of daemons that a network partition separates from the store. */
const PARTITIONED_DAEMONS = 4;

/** Time between checks, milliseconds: one and a half heartbeat intervals. */
const STEP_MS = 1500;

/** Maximum sum of the shares: the users accept a tenth beyond the limits. */
const MAX_TOTAL_SHARE = 1.1;

/** Store that several daemons share, some of which cannot reach it. */
class SharedStore {
  private readonly rows = new Map<string, TableRow>();
  private version = 0;

  /** Creates the store as one daemon reaches it. */
  connect(isPartitioned: () => boolean): RowStore {
    const fail = () =>
      errAsync(
        new SavoryspurError(
          ErrorCode.UNAVAILABLE,
          {step: 'store', peer: 'store'},
          'network partition',
        ),
      );
    return {
      transact: (transaction) =>
        isPartitioned()
          ? fail()
          : okAsync({isCommitted: this.apply(transaction), conflicts: []}),
      read: () =>
        isPartitioned()
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

describe('shares of the fleet-wide limits', () => {
  let clock: ManualClock;
  let stop: AbortController;
  let partitioned: Set<number>;
  let fleet: Membership[];

  beforeEach(async () => {
    clock = new ManualClock();
    stop = createStopController();
    partitioned = new Set();
    const rows = new SharedStore();
    fleet = Array.from({length: DAEMONS}, (unused, index) => {
      const members = new Membership({
        self: createPeer(index),
        cores: 1,
        store: rows.connect(() => partitioned.has(index)),
        clock,
        log: new MemoryEventLog(),
        quarantine: new RequestQuarantine(clock),
        isCutOff: () => false,
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

  /** Computes the shares of the two owners, one on each side of the partition. */
  function computeOwnerShares(): number[] {
    const near = fleet[DAEMONS - 1]!.getMembershipView();
    const far = fleet[0]!.getMembershipView();
    return [
      computeOwnerShare(DAEMONS - PARTITIONED_DAEMONS, near),
      computeOwnerShare(PARTITIONED_DAEMONS, far),
    ];
  }

  function startPartition(): void {
    for (let index = 0; index < PARTITIONED_DAEMONS; index++)
      partitioned.add(index);
  }

  it('add up to the whole limit in a connected fleet', () => {
    const view = fleet[0]!.getMembershipView();
    expect(computeOwnerShare(DAEMONS, view)).to.equal(1);
    expect(computeStandaloneShare(view) * DAEMONS).to.be.below(1);
  });

  it('stay within the limit on both sides of a long partition', async () => {
    startPartition();
    for (let step = 0; step < 40; step++) {
      await advance(STEP_MS);
      const [near = 0, far = 0] = computeOwnerShares();
      expect(near + far, `after ${step} steps`).to.be.at.most(MAX_TOTAL_SHARE);
    }
    expect(computeOwnerShares()[0], 'whole again').to.equal(1);
  });

  it('return to the whole limit after a partition', async () => {
    startPartition();
    await advance(10_000);
    partitioned.clear();
    await advance(3000);
    for (const members of fleet) {
      expect(computeOwnerShare(DAEMONS, members.getMembershipView())).to.equal(
        1,
      );
    }
  });

  it('stay whole while the store is unavailable to all daemons', async () => {
    for (let index = 0; index < DAEMONS; index++) partitioned.add(index);
    await advance(60_000);
    expect(computeOwnerShare(DAEMONS, fleet[0]!.getMembershipView())).to.equal(
      1,
    );
  });

  it('are zero before the first read of the heartbeats', () => {
    const members = new Membership({
      self: createPeer(0),
      cores: 1,
      store: new SharedStore().connect(() => true),
      clock,
      log: new MemoryEventLog(),
      quarantine: new RequestQuarantine(clock),
      isCutOff: () => false,
    });
    expect(computeOwnerShare(1, members.getMembershipView())).to.equal(0);
    expect(computeStandaloneShare(members.getMembershipView())).to.equal(0);
  });
});

function createPeer(index: number): PeerInfo {
  return {
    host: `host-${index}`,
    zone: index < PARTITIONED_DAEMONS ? 'zone-a' : 'zone-b',
    region: 'region',
    address: '127.0.0.1',
    peerPort: 1000 + index,
    incarnation: `run-${index}`,
  };
}
