import {computeRendezvousRanking} from '@savoryspur/common';
import {expect} from 'chai';

describe('computeRanking', () => {
  const members = ['a', 'b', 'c', 'd', 'e'];

  it('gives the same order whatever the order of the members', () => {
    const forward = computeRendezvousRanking('workspace-1', members);
    const backward = computeRendezvousRanking(
      'workspace-1',
      [...members].reverse(),
    );
    expect(forward).to.deep.equal(backward);
  });

  it('moves only the keys of a member that left', () => {
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
