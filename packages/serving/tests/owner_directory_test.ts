import {ManualClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  type OwnerCandidates,
  OwnerDirectory,
} from '../src/peers/owner_directory.js';

const STRONG = ['a', 'b', 'c'].map((name) => createPeer(name, 'zone-a'));
const WEAK = ['d', 'e', 'f', 'g'].map((name) => createPeer(name, 'zone-b'));
const KEYS = Array.from({length: 50}, (unused, index) => `key-${index}`);

function createPeer(host: string, zone: string): PeerInfo {
  return {
    host,
    zone,
    region: 'region',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: `run-${host}`,
  };
}

/** Makes the directory of one daemon. */
function createDirectory(self: PeerInfo): OwnerDirectory {
  const members: OwnerCandidates = {
    self,
    listOwnerCandidates: () => [STRONG, WEAK],
    recordContact: () => undefined,
  };
  return new OwnerDirectory(members, new ManualClock());
}

describe('OwnerDirectory', () => {
  it('gives all keys to strong daemons, and some to each', () => {
    const directory = createDirectory(WEAK[0]!);
    const owners = new Set(KEYS.map((key) => directory.find(key).host));
    expect([...owners].sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('finds the same owner on all daemons', () => {
    const directories = [...STRONG, ...WEAK].map(createDirectory);
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key).host));
      expect(owners.size).to.equal(1);
    }
  });

  it('gives keys to one weak daemon while no strong one is reached', () => {
    const directories = WEAK.map(createDirectory);
    for (const directory of directories) {
      for (const peer of STRONG) directory.recordFailure(peer);
    }
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key).host));
      expect(owners.size).to.equal(1);
      expect(WEAK.map((peer) => peer.host)).to.include([...owners][0]);
    }
  });
});
