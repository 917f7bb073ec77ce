import type {PromptCrash} from '@savoryspur/schema';
import {expect} from 'chai';
import fc from 'fast-check';
import {findCrashingParts} from '../src/online/find_crashing_parts.js';

/** Creates a crash of a run that lasted 100 ms. */
function createCrash(endedMs: number, ...parts: string[]): PromptCrash {
  return {
    serverId: `s-${endedMs}`,
    fingerprint: `request-${endedMs}`,
    parts,
    startedMs: endedMs - 100,
    endedMs,
  };
}

/** Crashes under the part `bad`, each with other parts beside it. */
const CRASHES_WITH_ONE_COMMON_PART = [
  createCrash(1000, 'a1', 'bad'),
  createCrash(2000, 'a2', 'bad'),
  createCrash(3000, 'a3', 'bad'),
];

interface Case {
  name: string;
  crashes: PromptCrash[];
  sound?: Array<[part: string, atMs: number]>;
  expected: string[][];
}

const CASES: Case[] = [
  {
    name: 'nothing in two crashes',
    crashes: CRASHES_WITH_ONE_COMMON_PART.slice(1),
    expected: [],
  },
  {
    name: 'the common part of three consecutive crashes',
    crashes: CRASHES_WITH_ONE_COMMON_PART,
    expected: [['bad']],
  },
  {
    name: 'nothing when all servers crashed at once',
    crashes: [1000, 1020, 1040, 1060].map((ms) => createCrash(ms, 'a')),
    expected: [],
  },
  {
    name: 'nothing when one request was repeated',
    crashes: CRASHES_WITH_ONE_COMMON_PART.map((crash) => ({
      ...crash,
      fingerprint: 'r1',
    })),
    expected: [],
  },
  {
    name: 'no part that was sound after the second crash',
    crashes: CRASHES_WITH_ONE_COMMON_PART,
    sound: [['bad', 2500]],
    expected: [],
  },
  {
    name: 'a part that was sound before the first crash',
    crashes: CRASHES_WITH_ONE_COMMON_PART,
    sound: [['bad', 500]],
    expected: [['bad']],
  },
  {
    name: 'both parts while no crash tells them apart',
    crashes: [1000, 2000, 3000].map((ms) => createCrash(ms, 'a', 'bad')),
    expected: [['a', 'bad']],
  },
  {
    name: 'both parts after one crash without one of them, which may have another cause',
    crashes: [
      ...[1000, 2000, 3000].map((ms) => createCrash(ms, 'a', 'bad')),
      createCrash(4000, 'b', 'bad'),
    ],
    expected: [['a', 'bad']],
  },
  {
    name: 'one part once two crashes tell them apart',
    crashes: [
      ...[1000, 2000, 3000].map((ms) => createCrash(ms, 'a', 'bad')),
      ...[4000, 5000].map((ms) => createCrash(ms, 'b', 'bad')),
    ],
    expected: [['bad']],
  },
  {
    name: 'one part once the other was sound',
    crashes: [1000, 2000, 3000].map((ms) => createCrash(ms, 'a', 'bad')),
    sound: [['a', 3500]],
    expected: [['bad']],
  },
  {
    name: 'no part of bystanders whose crashes another part explains',
    crashes: [
      ...[1000, 2000, 3000, 4000].map((ms) => createCrash(ms, 'a', 'bad')),
      createCrash(1000, 'a', 'c'),
      createCrash(3000, 'a', 'd'),
    ],
    sound: [['a', 3500]],
    expected: [['bad']],
  },
  {
    name: 'two parts that crash servers independently',
    crashes: [
      ...CRASHES_WITH_ONE_COMMON_PART,
      ...[1500, 2500, 3500].map((ms) => createCrash(ms, `b${ms}`, 'worse')),
    ],
    expected: [['bad'], ['worse']],
  },
];

describe('findCrashingParts', () => {
  for (const {name, crashes, sound, expected} of CASES) {
    it(`finds ${name}`, () => {
      const found = findCrashingParts(crashes, new Map(sound));
      expect(found.map(({parts}) => parts)).to.deep.equal(expected);
    });
  }

  it('gives the time of the last crash', () => {
    const found = findCrashingParts(CRASHES_WITH_ONE_COMMON_PART, new Map());
    expect(found[0]?.lastCrashMs).to.equal(3000);
  });

  it('finds the same parts in whatever order the crashes are known', () => {
    const crash = fc.record({
      serverId: fc.constant('s'),
      fingerprint: fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5', 'r6'),
      parts: fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), {
        minLength: 1,
        maxLength: 3,
      }),
      startedMs: fc.integer({min: 0, max: 500}),
      endedMs: fc.integer({min: 501, max: 3000}),
    });
    const sortParts = (found: Array<{parts: readonly string[]}>): string[] =>
      found.map(({parts}) => [...parts].sort().join());
    fc.assert(
      fc.property(
        fc
          .array(crash, {maxLength: 12})
          .chain((crashes) =>
            fc.tuple(
              fc.constant(crashes),
              fc.shuffledSubarray(crashes, {minLength: crashes.length}),
            ),
          ),
        ([crashes, shuffled]) => {
          expect(
            sortParts(findCrashingParts(shuffled, new Map())),
          ).to.deep.equal(sortParts(findCrashingParts(crashes, new Map())));
        },
      ),
      {seed: 20261204},
    );
  });
});
