import {expect} from 'chai';
import {computeBackoffMs} from '../src/index.js';

describe('computeBackoffMs', () => {
  const cases = [
    {failures: 1, expected: 100},
    {failures: 2, expected: 200},
    {failures: 4, expected: 400},
    {failures: 5000, expected: 400},
  ];
  for (const {failures, expected} of cases) {
    it(`returns a delay of ${expected} ms after ${failures} failures`, () => {
      expect(computeBackoffMs(100, 400, failures)).to.equal(expected);
    });
  }
});
