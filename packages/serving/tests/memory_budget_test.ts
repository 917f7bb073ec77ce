import {expect} from 'chai';
import {
  MEMORY_SHARES,
  MemoryBudget,
  type MemoryReservation,
  MemoryUse,
} from '../src/memory/memory_budget.js';

const USE = MemoryUse.RUNNING_JOBS;
const SHARE_BYTES = 100;

describe('MemoryBudget', () => {
  let budget: MemoryBudget;
  let stop: AbortController;

  beforeEach(() => {
    budget = new MemoryBudget({...MEMORY_SHARES, [USE]: SHARE_BYTES});
    stop = new AbortController();
  });

  /** Waits for memory; the function returned gives the reservation once it is granted. */
  function wait(bytes: number): () => MemoryReservation | undefined {
    let granted: MemoryReservation | undefined;
    void budget.reserve(USE, bytes, stop.signal).then((reservation) => {
      granted = reservation;
    });
    return () => granted;
  }

  const sizes = [
    {used: 0, bytes: SHARE_BYTES, isGranted: true},
    {used: 0, bytes: SHARE_BYTES + 1, isGranted: true},
    {used: 1, bytes: SHARE_BYTES - 1, isGranted: true},
    {used: 1, bytes: SHARE_BYTES, isGranted: false},
    {used: SHARE_BYTES, bytes: 1, isGranted: false},
  ];
  for (const {used, bytes, isGranted} of sizes) {
    const verb = isGranted ? 'grants' : 'refuses';
    it(`${verb} ${bytes} bytes while ${used} of ${SHARE_BYTES} are in use`, () => {
      if (used > 0) budget.tryReserve(USE, used);
      expect(budget.tryReserve(USE, bytes) !== undefined).to.equal(isGranted);
    });
  }

  it('keeps the uses apart', () => {
    budget.tryReserve(USE, SHARE_BYTES);
    expect(budget.tryReserve(MemoryUse.ANSWERS, 1)).to.not.equal(undefined);
  });

  it('grants waiting requests in order, also when a later one would fit', async () => {
    const held = budget.tryReserve(USE, 60);
    const large = wait(80);
    const small = wait(10);
    await Promise.resolve();
    expect([large(), small()]).to.deep.equal([undefined, undefined]);
    expect(budget.tryReserve(USE, 1)).to.equal(undefined);
    held?.release();
    await Promise.resolve();
    expect(large()).to.not.equal(undefined);
    expect(small()).to.not.equal(undefined);
  });

  it('grants memory that a smaller size sets free', async () => {
    const held = budget.tryReserve(USE, 60);
    const waiting = wait(50);
    held?.resize(50);
    await Promise.resolve();
    expect(waiting()).to.not.equal(undefined);
    expect(budget.getUsedBytes(USE)).to.equal(SHARE_BYTES);
  });

  it('lets later requests pass once a wait has ended', async () => {
    budget.tryReserve(USE, 60);
    const ended = wait(80);
    const other = new AbortController();
    const later = budget.reserve(USE, 40, other.signal);
    stop.abort();
    expect(await later).to.not.equal(undefined);
    expect(ended()).to.equal(undefined);
  });

  it('counts memory once when it is returned twice', () => {
    const held = budget.tryReserve(USE, 60);
    budget.tryReserve(USE, 40);
    held?.release();
    held?.release();
    expect(budget.getUsedBytes(USE)).to.equal(40);
  });
});
