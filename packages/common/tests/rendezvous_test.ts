import {computeRendezvousRanking} from '@savoryspur/common';
import {expect} from 'chai';

describe('computeRendezvousRanking', () => {
  const members = ['a', 'b', 'c', 'd', 'e'];

  it('returns the same order for any order of the members', () => {
    const forward = computeRendezvousRanking('workspace-1', members);
    const backward = computeRendezvousRanking(
      'workspace-1',
      [...members].reverse(),
    );
    expect(forward).to.deep.equal(backward);
  });

  it('keeps the order of the other members when a member leaves', () => {
    for (let i = 0; i < 200; i++) {
      const before = computeRendezvousRanking(`key-${i}`, members);
      const after = computeRendezvousRanking(
        `key-${i}`,
        members.filter((m) => m !== 'c'),
      );
      expect(after).to.deep.equal(before.filter((m) => m !== 'c'));
    }
  });
});
