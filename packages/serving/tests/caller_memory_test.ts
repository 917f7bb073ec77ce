import {expect} from 'chai';
import {
  type CallerClaim,
  type CallerIdentity,
  CallerMemory,
  MemoryBudget,
  MemoryUse,
} from '../src/index.js';

const LIMIT_BYTES = 1000;

const FIRST = {address: '10.0.0.1', workspace: 'a'};
const SECOND = {address: '10.0.0.2', workspace: 'b'};

// Guards against callers who use up the memory of all, and against refusals of
// those who are within the limits.
describe('memory of the requests of callers', () => {
  let budget: MemoryBudget;
  let memory: CallerMemory;
  let ended: string[];

  beforeEach(() => {
    budget = new MemoryBudget();
    memory = new CallerMemory(budget, LIMIT_BYTES);
    ended = [];
  });

  function open(name: string, identity: CallerIdentity): CallerClaim {
    return memory.open(identity, 0, () => ended.push(name));
  }

  it('is limited for one caller, whose requests with progress are not ended', () => {
    const first = open('first', FIRST);
    expect(first.tryResize(600, 0)).to.equal(true);
    expect(open('next', FIRST).tryResize(600, 10)).to.equal(false);
    expect(ended).to.deep.equal([]);
    expect(budget.getUsedBytes(MemoryUse.REQUEST_BODIES)).to.equal(600);
    first.release();
    first.release();
    expect(budget.getUsedBytes(MemoryUse.REQUEST_BODIES)).to.equal(0);
  });

  it('is taken from a request without progress', () => {
    open('first', FIRST).tryResize(600, 0);
    expect(open('next', FIRST).tryResize(600, 1000)).to.equal(true);
    expect(ended).to.deep.equal(['first']);
  });

  it('is not taken from a request that was read whole', () => {
    const first = open('first', FIRST);
    first.tryResize(600, 0);
    first.complete();
    expect(open('next', SECOND).tryResize(600, 9000)).to.equal(false);
    expect(ended).to.deep.equal([]);
  });

  it('is taken from a larger holder, and not back by it', () => {
    const claims = [0, 1, 2, 3, 4].map((n) => open(`first-${n}`, FIRST));
    for (const claim of claims) claim.tryResize(200, 0);
    expect(open('second', SECOND).tryResize(200, 10)).to.equal(true);
    expect(ended).to.have.length(1);
    expect(open('again', FIRST).tryResize(200, 20)).to.equal(false);
    expect(ended).to.have.length(1);
  });

  it('is taken from a larger workspace behind the same address', () => {
    const shared = {...FIRST, workspace: 'b'};
    open('first-1', FIRST).tryResize(500, 0);
    open('first-2', FIRST).tryResize(500, 0);
    expect(open('second', shared).tryResize(300, 10)).to.equal(true);
    expect(ended).to.have.length(1);
  });

  it('is enough for one request beyond the limit, alone or when it is allowed', () => {
    const large = open('large', FIRST);
    expect(large.tryResize(5000, 0)).to.equal(true);
    large.release();
    memory.setLargestRequest(5000);
    open('small', SECOND).tryResize(100, 0);
    expect(open('large', FIRST).tryResize(4000, 0)).to.equal(true);
  });
});
