import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {PeerInfo, PoolHandOverAnswer} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import {PoolAuthority} from '../src/slots/pool_authority.js';
import type {PoolOwner} from '../src/slots/pool_owner.js';
import {createPeer} from './support/create_peer.js';

const SERVICE = 'assistant';
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
  answer: PoolHandOverAnswer | undefined = {isOwner: true, grants: [GRANT]};
  readonly takenOver: string[] = [];
  handOverCalls = 0;
  readonly authority = new PoolAuthority({
    host: SELF.host,
    directory: {
      isSelf: (peer) => peer.host === SELF.host,
      isReachable: () => this.isReachable,
    },
    getSession: () => ({
      getOwner: () => this.owner,
      getFormerOwner: () => this.former,
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
      this.handOverCalls += 1;
      if (this.answer) return okAsync(this.answer);
      const origin = {step: 'test', peer: former.host};
      return errAsync(new SavoryspurError(ErrorCode.TIMEOUT, origin, 'late'));
    },
  });

  async find(): Promise<string | undefined> {
    return (await this.authority.find(SERVICE))?.host;
  }

  async takeOver(): Promise<void> {
    this.former = OTHER;
    this.owner = SELF;
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
    expect(harness.handOverCalls).to.equal(0);
  });

  it('takes the grants of the former owner over before it grants slots', async () => {
    const harness = new Harness();
    await harness.takeOver();
    expect(harness.takenOver).to.deep.equal(['g']);
    expect(await harness.find()).to.equal(undefined);
    expect(harness.handOverCalls).to.equal(1);
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
    harness.owner = NEXT;
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
});
