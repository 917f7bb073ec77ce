import fs from 'node:fs';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  compareEnvironments,
  computeDigest,
  formatDocumentError,
  formatEntityChange,
  parseEnvironment,
} from '../src/index.js';
import {parseValid, SMALL_DOCUMENT} from './documents.js';

const DOCS_PAGE = new URL(
  '../../../../docs/operations/configuration.md',
  import.meta.url,
);

/** Changes that make the small document invalid, and the exact error texts. */
const BAD_INPUTS = [
  {
    change: ['rate = 20', 'rate = '],
    text: 'line 31: (document): found invalid value, expected valid TOML',
  },
  {
    change: ['rate = 20', 'rate = "fast"'],
    text: 'line 31: workspaces[0].rate: found "fast", expected number',
  },
  {
    change: ['rate = 20', 'rate = 20\nspeed = 3'],
    text: 'line 32: workspaces[0].speed: found an unknown key, expected no such key',
  },
  {
    change: ['burst = 40\n', ''],
    text: 'line 29: workspaces[0].burst: found nothing, expected a value',
  },
  {
    change: ['pool = "assistant"\nzone', 'pool = "helpers"\nzone'],
    text: 'line 21: servers[0].pool: found "helpers", expected the name of one of the pools',
  },
  {
    change: ['zone = "lower-1"', 'zone = "upper-1"'],
    text: 'line 22: servers[0].zone: found "upper-1", expected the name of one of the zones',
  },
  {
    change: ['name = "lower-2"', 'name = "lower-1"'],
    text: 'line 8: zones[1].name: found "lower-1" again, expected a name other than that of zones[0]',
  },
  {
    change: ['workspace = "kitchens"', 'workspace = "platers"'],
    text: 'line 36: keys[0].workspace: found "platers", expected the name of one of the workspaces',
  },
  {
    change: ['path = "/ledger"', 'path = "/ledger"\nopen = true'],
    text: 'line 39: routes[0].workspace: found nothing on an open route, expected the workspace that is charged for its calls',
  },
  {
    change: ['path = "/ledger"', 'path = "/v1/ledger"'],
    text: 'line 40: routes[0].path: found "/v1/ledger", expected a path that is not below /v1',
  },
  {
    change: ['kind = "service"', 'kind = "engine"'],
    text: 'line 41: routes[0].pool: found "ledger" of kind "engine", expected a pool of kind "service"',
  },
  {
    change: [
      '[[routes]]',
      `[[keys]]\nid = "kitchens-2"\nworkspace = "kitchens"\nhash = "${'a'.repeat(64)}"\n\n[[routes]]`,
    ],
    text: `line 42: keys[1].hash: found "${'a'.repeat(64)}" again, expected a hash other than that of keys[0]`,
  },
] as const;

describe('parseEnvironment', () => {
  for (const {change, text} of BAD_INPUTS) {
    it(`reports: ${text}`, () => {
      const [from, to] = change;
      expect(SMALL_DOCUMENT).to.contain(from);
      const errors = parseEnvironment(SMALL_DOCUMENT.replace(from, to));
      const texts = errors._unsafeUnwrapErr().map(formatDocumentError);
      expect(texts).to.deep.equal([text]);
      const page = fs.readFileSync(DOCS_PAGE, 'utf8');
      expect(page).to.contain(text.replace('a'.repeat(64), 'aaaa…'));
    });
  }

  it('gives the same digest for any order of entities and fields', () => {
    const blocks = SMALL_DOCUMENT.split('\n\n');
    const digest = computeDigest(parseValid(SMALL_DOCUMENT));
    fc.assert(
      fc.property(
        fc.shuffledSubarray(blocks.slice(1), {minLength: blocks.length - 1}),
        (shuffled) => {
          const toml = [blocks[0], ...shuffled].join('\n\n');
          return computeDigest(parseValid(toml)) === digest;
        },
      ),
      {seed: 7, numRuns: 50},
    );
  });

  it('formats the differences between two documents', () => {
    const after = SMALL_DOCUMENT.replace('rate = 20', 'rate = 30')
      .replace(/\[\[routes\]\][^[]*/, '')
      .concat('\n[[zones]]\nname = "lower-3"\nregion = "west"\n');
    const changes = compareEnvironments(
      parseValid(SMALL_DOCUMENT),
      parseValid(after),
    );
    expect(changes.map(formatEntityChange)).to.deep.equal([
      '+ zones lower-3',
      '~ workspaces kitchens: rate 20 -> 30',
      '- routes /ledger',
    ]);
  });
});
