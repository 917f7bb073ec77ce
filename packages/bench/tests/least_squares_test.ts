/** Tests of the fit of a straight line. */
import {expect} from 'chai';
import {computeLine} from '../src/least_squares.js';

const CASES = [
  {
    name: 'points that lie on a line',
    points: [
      {x: 1, y: 5},
      {x: 2, y: 7},
      {x: 4, y: 11},
    ],
    slope: 2,
    base: 3,
  },
  {
    name: 'points that lie off the line',
    points: [
      {x: 0, y: 1},
      {x: 1, y: 0},
      {x: 2, y: 2},
    ],
    slope: 0.5,
    base: 0.5,
  },
];

describe('computeLine', () => {
  for (const {name, points, slope, base} of CASES) {
    it(`fits ${name}`, () => {
      const line = computeLine(points);
      expect(line.slope).to.be.closeTo(slope, 1e-12);
      expect(line.base).to.be.closeTo(base, 1e-12);
    });
  }

  it('rejects points that all have the same x', () => {
    const points = [
      {x: 3, y: 1},
      {x: 3, y: 2},
    ];
    expect(() => computeLine(points)).to.throw(RangeError);
  });
});
