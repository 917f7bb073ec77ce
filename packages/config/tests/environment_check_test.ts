import {expect} from 'chai';
import {KeyState, ZoneState} from '@savoryspur/schema';
import {
  checkAgainstLive,
  checkDocument,
  formatDocumentError,
  parseLiveDocument,
  Severity,
} from '../src/index.js';
import {parseValid, SMALL_DOCUMENT} from './documents.js';

/** A document without findings, whose lists are not in the order of their ids. */
const CLEAN_DOCUMENT = `${SMALL_DOCUMENT.replace('name = "lower-1"', 'name = "upper-1"\nregion = "west"\n\n[[zones]]\nname = "lower-1"')}
[[servers]]
id = "ledger-1"
pool = "ledger"
zone = "lower-2"
url = "http://127.0.0.1:9002"
`;

/** An edit that causes a finding, and one beside it that must not. */
interface FindingCase {
  text: string;
  found: [from: string, to: string];
  notFound: [from: string, to: string];
}

const ROUTE = 'path = "/ledger"\npool = "ledger"';
const OWN_KEY = `id = "kitchens-1"\nworkspace = "kitchens"\nhash = "${'a'.repeat(64)}"`;
const SECOND_KEY = `[[keys]]\nid = "a-2"\nworkspace = "kitchens"\nhash = "${'b'.repeat(64)}"`;

function addRoute(fields: string): [string, string] {
  return [ROUTE, `${ROUTE}\n\n[[routes]]\n${fields}`];
}

/**
 * Guard against entries without effect that go unnoticed, and against warnings
 * of entries that have one.
 */
const FINDING_CASES: FindingCase[] = [
  {
    text: 'line 48: routes[1].path: found "/ledger/a/b", whose calls go the same way without it, expected other fields than those of routes[0], or no such route unless the burn report shall list it',
    found: addRoute('path = "/ledger/a/b"\npool = "ledger"'),
    notFound: addRoute(
      'path = "/ledger/a"\npool = "ledger"\nidempotent = true',
    ),
  },
  {
    text: 'line 52: routes[2].path: found "/ledger/a/b", whose calls go the same way without it, expected other fields than those of routes[1], or no such route unless the burn report shall list it',
    found: addRoute(
      'path = "/ledger/a"\npool = "ledger"\nidempotent = true\n[[routes]]\npath = "/ledger/a/b"\npool = "ledger"\nidempotent = true',
    ),
    notFound: addRoute(
      'path = "/ledger/a"\npool = "ledger"\nidempotent = true\n[[routes]]\npath = "/ledger/a/b"\npool = "ledger"',
    ),
  },
  {
    text: 'line 48: routes[1].path: found "/ledger/b", whose calls go the same way without it, expected other fields than those of routes[0], or no such route unless the burn report shall list it',
    found: addRoute('path = "/ledger/b"\npool = "ledger"'),
    notFound: addRoute('path = "/ledger-b"\npool = "ledger"'),
  },
  {
    text: 'line 24: pools[2].name: found "spare", a pool without servers, expected a pool of one of the servers',
    found: [
      '[[servers]]',
      '[[pools]]\nname = "spare"\nkind = "engine"\n\n[[servers]]',
    ],
    notFound: [
      '[[servers]]',
      '[[pools]]\nname = "spare"\nkind = "engine"\n[[servers]]\nid = "s"\npool = "spare"\nzone = "lower-1"\nurl = "http://127.0.0.1:1"\n[[servers]]',
    ],
  },
  {
    text: 'line 17: pools[0].name: found "assistant", a pool with servers only in zones that are declared out, expected a server in a zone of state "in"',
    found: ['name = "lower-1"', 'name = "lower-1"\nstate = "out"'],
    notFound: ['name = "upper-1"', 'name = "upper-1"\nstate = "out"'],
  },
  {
    text: 'line 39: workspaces[1].name: found "guests" without an active key or an open route in the document, expected one of them, unless a command issues its keys',
    found: [
      '[[keys]]',
      '[[workspaces]]\nname = "guests"\nrate = 1\nburst = 2\n[[keys]]',
    ],
    notFound: [
      '[[keys]]',
      '[[workspaces]]\nname = "guests"\nrate = 1\nburst = 2\n[[routes]]\npath = "/g"\npool = "ledger"\nopen = true\nworkspace = "guests"\n[[keys]]',
    ],
  },
  {
    text: 'line 46: keys[1].state: found "withdrawn", so that the key never matches, expected an active key, or no such entry once the key is withdrawn in force',
    found: [OWN_KEY, `${OWN_KEY}\n${SECOND_KEY}\nstate = "withdrawn"`],
    notFound: [OWN_KEY, `${OWN_KEY}\n${SECOND_KEY}\nstate = "active"`],
  },
  {
    text: 'line 17: pools[0].headroom: found 4, which leaves batch items no slot on a warm server, expected less than the warmCapacity of 4',
    found: [
      'kind = "engine"',
      'headroom = 4\nwarmCapacity = 4\nkind = "engine"',
    ],
    notFound: [
      'kind = "engine"',
      'headroom = 3\nwarmCapacity = 4\nkind = "engine"',
    ],
  },
  {
    text: 'line 36: workspaces[0].batchShare: found 0.02 of a burst of 40, which is less than the one token of a batch item, expected 0, or a share that is at least one token',
    found: ['burst = 40', 'batchShare = 0.02\nburst = 40'],
    notFound: ['burst = 40', 'batchShare = 0.025\nburst = 40'],
  },
];

/** Edits that must cause no warning although they look like those that do. */
const HARMLESS_EDITS: Array<[string, [string, string]]> = [
  [
    'the headroom of a pool without batch items',
    ['kind = "service"', 'kind = "service"\nwarmCapacity = 1'],
  ],
  [
    'a batchShare that is one token but for rounding',
    ['burst = 40', 'burst = 49\nbatchShare = 0.02040816326530612'],
  ],
  ['a batchShare of zero', ['burst = 40', 'batchShare = 0\nburst = 1']],
];

function listFindings(toml: string): string[] {
  const {findings} = checkDocument(toml);
  return findings.map((finding) => formatDocumentError(finding));
}

describe('checkDocument', () => {
  it('finds nothing in a document without faults', () => {
    expect(listFindings(CLEAN_DOCUMENT)).to.deep.equal([]);
  });

  for (const {text, found, notFound} of FINDING_CASES) {
    it(`warns: ${text}`, () => {
      expect(listFindings(CLEAN_DOCUMENT.replace(...found))).to.deep.equal([
        text,
      ]);
      expect(CLEAN_DOCUMENT).to.contain(notFound[0]);
      expect(listFindings(CLEAN_DOCUMENT.replace(...notFound))).to.deep.equal(
        [],
      );
    });
  }

  for (const [name, edit] of HARMLESS_EDITS) {
    it(`does not warn of ${name}`, () => {
      expect(CLEAN_DOCUMENT).to.contain(edit[0]);
      expect(listFindings(CLEAN_DOCUMENT.replace(...edit))).to.deep.equal([]);
    });
  }

  it('warns of a pool without servers and of its models and routes', () => {
    const {findings} = checkDocument(
      CLEAN_DOCUMENT.replace(/\[\[servers\]\][^[]*/g, ''),
    );
    expect(findings.map(({field}) => field)).to.deep.equal([
      'pools[0].name',
      'pools[1].name',
      'models[0].pool',
      'routes[0].pool',
    ]);
  });

  it('reports the errors of a document without warnings', () => {
    const {document, findings} = checkDocument('name = 3');
    expect(document).to.equal(undefined);
    expect(findings.map((f) => f.severity)).to.deep.equal([Severity.ERROR]);
  });
});

/**
 * Documents against a state that commands changed. Guard against requests that
 * are silently not carried out, and against warnings of usual documents.
 */
const LIVE_CASES: Array<{
  name: string;
  edit: [from: string, to: string];
  texts: string[];
}> = [
  {
    name: 'a document that omits the state of a zone',
    edit: ['', ''],
    texts: [],
  },
  {
    name: 'a zone that was taken out and is declared in',
    edit: ['name = "lower-2"', 'name = "lower-2"\nstate = "in"'],
    texts: [
      'line 13: zones[2].state: found "in", expected "out", which is in force and which only the command zone changes',
    ],
  },
  {
    name: 'a zone with the declared state',
    edit: ['name = "lower-2"', 'name = "lower-2"\nstate = "out"'],
    texts: [],
  },
  {
    name: 'a new zone that is declared out',
    edit: [
      '[[pools]]',
      '[[zones]]\nname = "n"\nregion = "r"\nstate = "out"\n[[pools]]',
    ],
    texts: [],
  },
  {
    name: 'a withdrawn key that is listed as active',
    edit: [OWN_KEY, `${OWN_KEY}\n${SECOND_KEY}`],
    texts: [
      'line 42: keys[1].state: found "active" for a key that was withdrawn, expected a new key under a new id, since a withdrawal is permanent',
    ],
  },
  {
    name: 'a withdrawn key that is listed as withdrawn',
    edit: [OWN_KEY, `${OWN_KEY}\n${SECOND_KEY}\nstate = "withdrawn"`],
    texts: [],
  },
];

describe('checkAgainstLive', () => {
  const live = parseValid(CLEAN_DOCUMENT);
  const key = {workspace: 'kitchens', hash: 'c'.repeat(64), issued: true};
  live.keys.push(
    {...key, id: 'issued-1', state: KeyState.ACTIVE},
    {
      id: 'a-2',
      workspace: 'kitchens',
      hash: 'b'.repeat(64),
      state: KeyState.WITHDRAWN,
    },
  );
  for (const zone of live.zones) {
    if (zone.name === 'lower-2') zone.state = ZoneState.OUT;
  }

  for (const {name, edit, texts} of LIVE_CASES) {
    it(`${texts.length > 0 ? 'warns' : 'does not warn'} of ${name}`, () => {
      expect(CLEAN_DOCUMENT).to.contain(edit[0]);
      const declared = CLEAN_DOCUMENT.replace(...edit);
      const {findings} = checkAgainstLive(declared, live);
      expect(findings.map(formatDocumentError)).to.deep.equal(texts);
    });
  }

  it('warns of a removed workspace with issued keys, of which declared ones are none', () => {
    const renamed = CLEAN_DOCUMENT.replaceAll('"kitchens"', '"halls"');
    const declared = renamed.replace('"kitchens-1"', '"halls-1"');
    const {findings} = checkAgainstLive(declared, live);
    expect(findings.map(formatDocumentError)).to.deep.equal([
      'workspaces: found no "kitchens", which has issued keys (1), expected the workspace, as its issued keys are withdrawn without it',
    ]);
  });

  it('lists the differences that applying makes', () => {
    const changed = CLEAN_DOCUMENT.replace('rate = 20', 'rate = 30');
    expect(checkAgainstLive(CLEAN_DOCUMENT, live).differences).to.deep.equal(
      [],
    );
    const [change, ...others] =
      checkAgainstLive(changed, live).differences ?? [];
    expect(change?.fields).to.deep.equal([
      {field: 'rate', before: 20, after: 30},
    ]);
    expect(others).to.deep.equal([]);
  });

  it('reports an error and no differences for a document that is refused', () => {
    const reused = CLEAN_DOCUMENT.replace('"kitchens-1"', '"issued-1"');
    const {findings, differences} = checkAgainstLive(reused, live);
    expect(findings.map((f) => f.severity)).to.deep.equal([Severity.ERROR]);
    expect(differences).to.equal(undefined);
  });

  it('compares with an environment without a version, but not with other values', () => {
    const lists = {
      zones: [],
      pools: [],
      servers: [],
      models: [],
      workspaces: [],
      keys: [],
      routes: [],
    };
    expect(parseLiveDocument({name: '', ...lists})).to.deep.equal({
      name: '',
      ...lists,
    });
    for (const value of [undefined, null, 'x', {}, {...lists, keys: 3}]) {
      expect(parseLiveDocument(value)).to.equal(undefined);
    }
  });
});
