import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {PeerInfo, PoolHandOverAnswer} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import {PoolAuthority} from '../src/slots/pool_authority.js';
import type {PoolOwner} from '../src/slots/pool_owner.js';
import {createPeer} from './support/create_peer.js';
import {SERVICE} from './support/create_pool_fixture.js';

const SELF = createPeer('self');
const OTHER = createPeer('other');
const NEXT = createPeer('next');

const GRANT = {
  grantId: 'g',
  holder: 'holder',
  serverId: 's',
  isBatch: false,
  workspace: 'w',
  dueInMs: 100,
  ageMs: 10,
};

/** Authority of one daemon, whose session, peers and pool the test sets. */
class Harness {
  owner: PeerInfo | undefined = OTHER;
  former: PeerInfo | undefined;
  hasFeature = true;
  isReachable = true;
  changes = 1;
  answer: PoolHandOverAnswer | undefined = {isOwner: true, grants: [GRANT]};
  readonly takenOver: string[] = [];
  readonly asked: string[] = [];
  readonly authority = new PoolAuthority({
    self: SELF,
    directory: {
      isSelf: (peer) => peer.host === SELF.host,
      isReachable: () => this.isReachable,
    },
    getSession: () => ({
      getOwner: () => this.owner,
      getFormerOwner: () => this.former,
      countOwnerChanges: () => this.changes,
    }),
    getPool: () =>
      ({
        sync: () => Promise.resolve([]),
        takeOverGrants: (grants: Array<typeof GRANT>) =>
          this.takenOver.push(...grants.map(({grantId}) => grantId)),
        withdrawGrants: () => [GRANT],
      }) as unknown as PoolOwner,
    listHeldSlots: () => [],
    hasFeature: () => this.hasFeature,
    handOver: (former) => {
      this.asked.push(former.host);
      if (this.answer) return okAsync(this.answer);
      const origin = {step: 'test', peer: former.host};
      return errAsync(new SavoryspurError(ErrorCode.TIMEOUT, origin, 'late'));
    },
  });

  async find(): Promise<string | undefined> {
    return (await this.authority.find(SERVICE))?.host;
  }

  /** Makes the session follow another owner. */
  setOwner(owner: PeerInfo, former: PeerInfo): void {
    this.owner = owner;
    this.former = former;
    this.changes += 1;
  }

  async takeOver(former = OTHER): Promise<void> {
    this.setOwner(SELF, former);
    await this.authority.find(SERVICE);
  }
}

describe('PoolAuthority', () => {
  it('passes calls on to the owner that this daemon follows', async () => {
    expect(await new Harness().find()).to.equal('other');
  });

  it('passes nothing on to a daemon of an earlier release, which refuses such calls', async () => {
    const harness = new Harness();
    harness.hasFeature = false;
    expect(await harness.find()).to.equal(undefined);
    await harness.takeOver();
    expect(harness.asked).to.deep.equal([]);
  });

  it('takes the grants of the former owner over before it grants slots', async () => {
    const harness = new Harness();
    await harness.takeOver();
    expect(harness.takenOver).to.deep.equal(['g']);
    expect(await harness.find()).to.equal(undefined);
    expect(harness.asked).to.deep.equal(['other']);
  });

  it('grants slots when the former owner does not answer', async () => {
    const harness = new Harness();
    harness.answer = undefined;
    await harness.takeOver();
    expect(await harness.find()).to.equal(undefined);
  });

  it('goes on granting slots until the next owner takes over, and passes calls on to it then', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.setOwner(NEXT, SELF);
    expect(await harness.find()).to.equal(undefined);
    expect(harness.authority.withdraw(SERVICE, NEXT).isOwner).to.equal(true);
    expect(await harness.find()).to.equal('next');
    expect(harness.authority.withdraw(SERVICE, OTHER).isOwner).to.equal(false);
  });

  it('grants slots again when the daemon that took over does not answer', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.authority.withdraw(SERVICE, NEXT);
    harness.isReachable = false;
    expect(await harness.find()).to.equal(undefined);
  });

  it('answers a call that was passed on, unless its pool was taken over meanwhile', async () => {
    const harness = new Harness();
    expect(await harness.authority.findForRelayed(SERVICE)).to.equal(undefined);
    await harness.takeOver();
    harness.authority.withdraw(SERVICE, NEXT);
    const peer = await harness.authority.findForRelayed(SERVICE);
    expect(peer?.host).to.equal('next');
  });

  // Calls would be passed on to the former owner for as long as it runs.
  it('takes a pool back when it owns it again after a hand-over', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.authority.withdraw(SERVICE, NEXT);
    expect(await harness.find()).to.equal('next');
    harness.setOwner(NEXT, SELF);
    await harness.takeOver(NEXT);
    expect(harness.asked).to.deep.equal(['other', 'next']);
    expect(await harness.find()).to.equal(undefined);
    expect(harness.authority.isActing(SERVICE)).to.equal(true);
  });

  // Two daemons that each follow themselves would hand the pool to and fro.
  it('does not take a pool back while its session has not followed another owner', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.authority.withdraw(SERVICE, NEXT);
    expect(await harness.find()).to.equal('next');
    expect(harness.asked).to.deep.equal(['other']);
  });

  // A daemon that granted slots in a zone that was cut off is not asked for its
  // pool by the owner outside, and would go on beside it later.
  it('asks the owner in between when it owns a pool again that nobody took over', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.setOwner(NEXT, SELF);
    expect(harness.authority.isActing(SERVICE)).to.equal(true);
    harness.setOwner(SELF, NEXT);
    expect(harness.authority.isActing(SERVICE)).to.equal(false);
    expect(await harness.find()).to.equal(undefined);
    expect(harness.asked).to.deep.equal(['other', 'next']);
    expect(harness.takenOver).to.deep.equal(['g', 'g']);
  });

  it('asks the daemon that took the pool over when the former owner does not grant its slots', async () => {
    const harness = new Harness();
    await harness.takeOver();
    harness.authority.withdraw(SERVICE, NEXT);
    harness.answer = {isOwner: false, grants: []};
    await harness.takeOver(OTHER);
    expect(harness.asked).to.deep.equal(['other', 'other', 'next']);
  });

  // A single daemon that suspects the owner would take the pool from all others,
  // which still follow the owner.
  it('grants slots at once when the former owner is suspected, and does not ask it', async () => {
    const harness = new Harness();
    harness.isReachable = false;
    await harness.takeOver();
    expect(harness.authority.isActing(SERVICE)).to.equal(true);
    expect(harness.asked).to.deep.equal([]);
  });
});
