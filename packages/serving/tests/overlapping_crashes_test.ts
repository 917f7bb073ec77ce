import type {PromptCrash} from '@savoryspur/schema';
import {expect} from 'chai';
import {findCrashingParts} from '../src/online/find_crashing_parts.js';

/** Parts, server number, start and end of one run, milliseconds. */
type Run = [
  parts: string[],
  server: number,
  startedMs: number,
  endedMs: number,
];

/** Creates the crashes of runs, each under a request of its own. */
function createCrashes(runs: readonly Run[]): PromptCrash[] {
  return runs.map(([parts, server, startedMs, endedMs], index) => ({
    serverId: `s-${server}`,
    fingerprint: `f-${index}`,
    parts,
    startedMs,
    endedMs,
  }));
}

const CASES: Array<{name: string; runs: Run[]; expected: string[][]}> = [
  {
    name: 'five servers one after the other, under requests that were all sent before the first crash',
    runs: [
      [['a', 'x'], 1, 0, 2000],
      [['b', 'x'], 2, 300, 2300],
      [['a', 'x'], 3, 600, 2600],
      [['c', 'x'], 4, 900, 2900],
      [['a', 'x'], 5, 1200, 3200],
    ],
    expected: [['x']],
  },
  {
    name: 'three servers, of which one also ran a sound request with the same first part',
    runs: [
      [['a', 'x'], 1, 0, 100],
      [['a', 'b'], 2, 210, 300],
      [['a', 'x'], 2, 200, 300],
      [['a', 'x'], 3, 400, 500],
    ],
    expected: [['a', 'x']],
  },
  {
    name: 'three servers, of which one also ran a sound request that began later',
    runs: [
      [['a', 'x'], 1, 0, 1000],
      [['a', 'x'], 2, 500, 1500],
      [['a', 'b'], 2, 1100, 1500],
      [['a', 'x'], 3, 1600, 2600],
      [['a', 'x'], 4, 2700, 3700],
    ],
    expected: [['a', 'x']],
  },
  {
    name: 'five servers at once',
    runs: [
      [['a', 'b'], 1, 0, 1000],
      [['a', 'c'], 2, 100, 1010],
      [['a', 'd'], 3, 200, 1020],
      [['a', 'e'], 4, 300, 1030],
      [['a', 'f'], 5, 400, 1040],
    ],
    expected: [],
  },
];

describe('parts that crash', () => {
  for (const {name, runs, expected} of CASES) {
    it(name, () => {
      const found = findCrashingParts(createCrashes(runs), new Map());
      const parts = found.map((set) => [...set.parts].sort());
      expect(parts).to.deep.equal(expected);
    });
  }
});
