import {ManualClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {ForwardPeers} from '../src/forwarding/forward_peers.js';
import type {ForwardPeer} from '../src/peers/membership.js';

const SELF = createPeer('self', 'zone-a');

/** First backoff and maximum backoff of a daemon, milliseconds. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4000;

/** Age up to which a success counts, milliseconds. */
const MAX_SUCCESS_AGE_MS = 2000;

const SERVER = {id: 'server-1', zone: 'zone-a'};
const OTHER_SERVER = {id: 'server-2', zone: 'zone-a'};
const FAR_SERVER = {id: 'server-3', zone: 'zone-b'};
const NONE: ReadonlySet<string> = new Set();

function createPeer(host: string, zone: string): PeerInfo {
  return {
    host,
    zone,
    region: 'region-a',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: 'first',
  };
}

describe('ForwardPeers', () => {
  let clock: ManualClock;
  let members: ForwardPeer[];
  let peers: ForwardPeers;
  let random: number;

  beforeEach(() => {
    clock = new ManualClock();
    random = 0;
    members = [
      {peer: createPeer('near-1', 'zone-a'), isCutOff: false},
      {peer: createPeer('near-2', 'zone-a'), isCutOff: false},
      {peer: createPeer('far', 'zone-b'), isCutOff: false},
    ];
    peers = new ForwardPeers({
      members: {self: SELF, listForwardPeers: () => members},
      isPeerReachable: () => true,
      clock,
      random: () => random,
    });
  });

  function choose(tried = NONE): string | undefined {
    return peers.choose(SERVER, tried)?.host;
  }

  function getPeer(host: string): PeerInfo {
    return members.find(({peer}) => peer.host === host)!.peer;
  }

  function setCutOff(...hosts: string[]): void {
    for (const member of members)
      member.isCutOff = hosts.includes(member.peer.host);
  }

  it('prefers hosts of the own zone that are not cut off', () => {
    expect(choose()).to.equal('near-1');
    setCutOff('near-1');
    expect(choose()).to.equal('near-2');
    setCutOff('near-1', 'near-2');
    expect(choose()).to.equal('far');
  });

  it('chooses a host that says it is cut off when there is no other', () => {
    setCutOff('near-1', 'near-2', 'far');
    expect(choose()).to.equal('near-1');
  });

  it('chooses no host that was tried, and none when all were', () => {
    expect(choose(new Set(['near-1']))).to.equal('near-2');
    expect(choose(new Set(['near-1', 'near-2', 'far']))).to.equal(undefined);
    members = [];
    expect(choose()).to.equal(undefined);
    expect(peers.isAnyAvailable('zone-a')).to.equal(false);
  });

  it('spreads calls over hosts by the calls in progress', () => {
    peers.beginCall(getPeer('near-1'));
    expect(choose()).to.equal('near-2');
    peers.beginCall(getPeer('near-2'));
    peers.beginCall(getPeer('near-2'));
    expect(choose()).to.equal('near-1');
    peers.finishCall(getPeer('near-2'));
    peers.finishCall(getPeer('near-2'));
    expect(choose()).to.equal('near-2');
  });

  it('chooses one of several like hosts at random', () => {
    const values = [0.7, 0.2, 0];
    members.pop();
    peers = new ForwardPeers({
      members: {self: SELF, listForwardPeers: () => members},
      isPeerReachable: () => true,
      clock,
      random: () => values.shift() ?? 0,
    });
    expect(choose()).to.equal('near-2');
  });

  it('does not choose a host that failed until its backoff is over', () => {
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    clock.advance(FIRST_BACKOFF_MS - 1);
    expect(choose()).to.equal('near-2');
    clock.advance(1);
    expect(choose()).to.equal('near-1');
  });

  it('keeps failures apart by the zone of the called server', () => {
    peers.recordLoss(getPeer('near-1'), 'zone-b');
    expect(choose()).to.equal('near-1');
    expect(peers.choose(FAR_SERVER, NONE)?.host).to.equal('near-2');
  });

  it('backs off longer after further failures, up to a maximum', () => {
    const backoffs = [500, 1000, 2000, 4000, 4000];
    for (const backoffMs of backoffs) {
      peers.recordLoss(getPeer('near-1'), 'zone-a');
      clock.advance(backoffMs - 1);
      expect(choose(), `after ${backoffMs - 1} ms`).to.equal('near-2');
      clock.advance(1);
      expect(choose(), `after ${backoffMs} ms`).to.equal('near-1');
    }
  });

  it('counts failures of calls in progress at the same time once', () => {
    for (let call = 0; call < 10; call += 1)
      peers.recordLoss(getPeer('near-1'), 'zone-a');
    clock.advance(FIRST_BACKOFF_MS);
    expect(choose()).to.equal('near-1');
  });

  it('chooses a host at once after a success, with the first backoff again', () => {
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    clock.advance(FIRST_BACKOFF_MS);
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    peers.recordSuccess(getPeer('near-1'), SERVER);
    expect(choose()).to.equal('near-1');
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    clock.advance(FIRST_BACKOFF_MS);
    expect(choose()).to.equal('near-1');
  });

  it('forgets failures of a process that was started again', () => {
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    members[0] = {
      peer: {...getPeer('near-1'), incarnation: 'second'},
      isCutOff: false,
    };
    expect(choose()).to.equal('near-1');
  });

  it('leaves its own zone when several hosts there failed', () => {
    members.push({peer: createPeer('near-3', 'zone-a'), isCutOff: false});
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    expect(choose()).to.equal('near-2');
    peers.recordLoss(getPeer('near-2'), 'zone-a');
    expect(choose()).to.equal('far');
    expect(peers.choose(FAR_SERVER, NONE)?.host).to.equal('near-1');
  });

  it('does not choose a host again for a server that it does not reach', () => {
    peers.recordFailure(getPeer('near-1'), SERVER);
    expect(choose()).to.equal('near-2');
    expect(peers.choose(OTHER_SERVER, NONE)?.host).to.equal('near-1');
    expect(peers.isAnyAvailable('zone-a')).to.equal(true);
    clock.advance(FIRST_BACKOFF_MS);
    expect(choose()).to.equal('near-1');
  });

  it('does not choose a host for a zone of which it does not reach two servers', () => {
    const third = {id: 'server-4', zone: 'zone-a'};
    peers.recordFailure(getPeer('near-1'), SERVER);
    peers.recordFailure(getPeer('near-1'), SERVER);
    expect(peers.choose(third, NONE)?.host).to.equal('near-1');
    peers.recordFailure(getPeer('near-1'), OTHER_SERVER);
    expect(peers.choose(third, NONE)?.host).to.equal('near-2');
    expect(peers.choose(FAR_SERVER, NONE)?.host).to.equal('near-1');
  });

  it('chooses a host that reaches one server of a zone and not another one', () => {
    peers.recordFailure(getPeer('near-1'), SERVER);
    peers.recordSuccess(getPeer('near-1'), OTHER_SERVER);
    peers.recordFailure(getPeer('near-1'), SERVER);
    expect(peers.choose(OTHER_SERVER, NONE)?.host).to.equal('near-1');
  });

  it('prefers hosts that have succeeded lately', () => {
    peers.recordSuccess(getPeer('near-2'), SERVER);
    expect(choose()).to.equal('near-2');
    clock.advance(MAX_SUCCESS_AGE_MS + 1);
    expect(choose()).to.equal('near-1');
  });

  it('has no host while all back off', () => {
    for (const {peer} of members) peers.recordLoss(peer, 'zone-a');
    expect(choose()).to.equal(undefined);
    expect(peers.isAnyAvailable('zone-a')).to.equal(false);
    expect(peers.isAnyAvailable('zone-b')).to.equal(true);
    clock.advance(FIRST_BACKOFF_MS);
    expect(peers.isAnyAvailable('zone-a')).to.equal(true);
  });

  it('begins with the first backoff when a failure is long over', () => {
    for (let failure = 0; failure < 5; failure += 1) {
      peers.recordLoss(getPeer('near-1'), 'zone-a');
      clock.advance(MAX_BACKOFF_MS);
    }
    clock.advance(2 * MAX_BACKOFF_MS);
    peers.recordLoss(getPeer('near-1'), 'zone-a');
    clock.advance(FIRST_BACKOFF_MS);
    expect(choose()).to.equal('near-1');
  });
});
