/** Tests of the readings of a process and of percentiles. */
import {expect} from 'chai';
import {getPercentile} from '../src/daemon_calls.js';
import {readProcess} from '../src/measure.js';

describe('readProcess', () => {
  it('reads CPU time and I/O bytes that never decrease, and memory', () => {
    const before = readProcess(process.pid);
    const after = readProcess(process.pid);
    expect(before.residentBytes).to.be.greaterThan(0);
    expect(after.cpuSeconds).to.be.at.least(before.cpuSeconds);
    expect(after.ioBytes).to.be.greaterThan(before.ioBytes);
  });
});

describe('getPercentile', () => {
  const cases = [
    {fraction: 0, value: 1},
    {fraction: 0.5, value: 3},
    {fraction: 0.99, value: 4},
    {fraction: 1, value: 4},
  ];
  for (const {fraction, value} of cases) {
    it(`gets the value at ${fraction}`, () => {
      expect(getPercentile([1, 2, 3, 4], fraction)).to.equal(value);
    });
  }
});
