import fs from 'node:fs';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {parseEnvironment} from '@savoryspur/config';
import {ExitCode, main} from '../src/index.js';

const CLEAN = 'name = "site"\n[[zones]]\nname = "z1"\nregion = "r"\n';
const WARNED = `${CLEAN}[[pools]]\nname = "p"\nkind = "engine"\n`;
const INVALID = CLEAN.replace('region', 'reegion');
const WARNING =
  'line 6: pools[0].name: found "p", a pool without servers, expected a pool of one of the servers';
const SUMMARY =
  /^site: 1 zones, 0 pools, 0 servers, 0 models, 0 workspaces, 0 keys, 0 routes\ndigest [0-9a-f]{64}\n$/;

/** What the stand-in for a daemon answers; undefined closes the connection. */
type Answer = {status: number; body: unknown} | undefined;

const IN_FORCE: Answer = {
  status: 200,
  body: {version: 4, document: parseEnvironment(CLEAN)._unsafeUnwrap()},
};
const REFUSED: Answer = {
  status: 401,
  body: {error: {code: 'unauthenticated', message: 'why'}},
};
const UNAVAILABLE: Answer = {
  status: 503,
  body: {error: {code: 'unavailable', message: 'why'}},
};

/**
 * Documents, options and answers, and the exit code that they cause. Guard
 * against scripts that take a faulty document or a missing comparison for good.
 */
const EXIT_CASES: Array<[string, string, string[], Answer, ExitCode]> = [
  ['a clean document', CLEAN, [], undefined, ExitCode.OK],
  ['a clean document', CLEAN, ['--strict'], undefined, ExitCode.OK],
  ['warnings', WARNED, [], undefined, ExitCode.OK],
  ['warnings', WARNED, ['--strict'], undefined, ExitCode.INVALID_INPUT],
  ['errors', INVALID, [], undefined, ExitCode.INVALID_INPUT],
  ['errors', INVALID, ['--against', 'trial'], IN_FORCE, ExitCode.INVALID_INPUT],
  ['differences', WARNED, ['--against', 'trial'], IN_FORCE, ExitCode.OK],
  [
    'warnings and a lost answer',
    WARNED,
    ['--against', 'production', '--strict'],
    undefined,
    ExitCode.UNREACHABLE,
  ],
  [
    'storage that is unavailable',
    CLEAN,
    ['--against', 'production'],
    UNAVAILABLE,
    ExitCode.UNREACHABLE,
  ],
  [
    'a wrong token',
    CLEAN,
    ['--against', 'trial'],
    REFUSED,
    ExitCode.UNAUTHENTICATED,
  ],
  [
    'an answer of another server',
    CLEAN,
    ['--against', 'trial'],
    {status: 200, body: null},
    ExitCode.REFUSED,
  ],
  ['an unknown version', CLEAN, ['--against', '12'], IN_FORCE, ExitCode.USAGE],
  ['no version', CLEAN, ['--against'], IN_FORCE, ExitCode.USAGE],
];

describe('savoryspur check', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'savoryspur-check-'));
  const file = path.join(folder, 'site.toml');
  const calls: string[] = [];
  let answer: Answer;
  const server = http.createServer((request, response) => {
    calls.push(`${request.method} ${request.url}`);
    if (answer) {
      response.writeHead(answer.status).end(JSON.stringify(answer.body));
    } else request.socket.destroy();
  });
  let url = '';

  /** Checks a document; returns the exit code and what was printed. */
  async function runCheck(toml: string, options: string[], daemonUrl = url) {
    fs.writeFileSync(file, toml);
    calls.length = 0;
    let printed = '';
    let printedErrors = '';
    const exitCode = await main(['check', file, ...options], {
      environment: {SAVORYSPUR_URL: daemonUrl, SAVORYSPUR_TOKEN: 't'},
      print: (text) => (printed += text),
      printError: (text) => (printedErrors += text),
    });
    return {exitCode, printed, printedErrors};
  }

  before(async () => {
    await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.close();
    fs.rmSync(folder, {recursive: true});
  });

  for (const [name, toml, options, given, exitCode] of EXIT_CASES) {
    it(`ends with ${exitCode} for ${name}, ${options.join(' ') || 'no options'}`, async () => {
      answer = given;
      const run = await runCheck(toml, options);
      expect(run.exitCode).to.equal(exitCode);
      expect(run.printedErrors !== '').to.equal(exitCode !== ExitCode.OK);
    });
  }

  it('prints a document without findings and its errors as before', async () => {
    const clean = await runCheck(CLEAN, []);
    expect(clean.printed).to.match(SUMMARY);
    const invalid = await runCheck(INVALID, []);
    expect(invalid.printed).to.equal('');
    expect(invalid.printedErrors).to.equal(
      `savoryspur: ${file}: line 2: zones[0].region: found nothing, expected a value\n`,
    );
    expect(calls).to.deep.equal([]);
  });

  it('prints warnings and differences, read by a GET request alone', async () => {
    answer = IN_FORCE;
    const {printed} = await runCheck(WARNED, ['--against', 'production']);
    expect(printed).to.contain(`${file}: warning: ${WARNING}\n`);
    expect(printed).to.match(
      /production is at version 4; 1 changes; digest \w+\n\+ pools p\n$/,
    );
    expect(calls).to.deep.equal(['GET /operator/v1/environments/production']);
  });

  it('prints the findings when no daemon answers', async () => {
    const options = ['--against', 'trial'];
    const run = await runCheck(WARNED, options, 'http://127.0.0.1:1');
    expect(run.exitCode).to.equal(ExitCode.UNREACHABLE);
    expect(run.printed).to.contain(WARNING);
    expect(run.printedErrors).to.contain('found no answer from');
    const json = await runCheck(
      WARNED,
      [...options, '--json'],
      'http://127.0.0.1:1',
    );
    expect(json.exitCode).to.equal(ExitCode.UNREACHABLE);
    const {findings, differences} = JSON.parse(json.printed);
    expect(findings).to.have.length(1);
    expect(differences).to.equal(null);
  });

  it('prints one JSON object', async () => {
    answer = IN_FORCE;
    const run = await runCheck(WARNED, ['--against', 'trial', '--json']);
    const {digest, findings, differences} = JSON.parse(run.printed);
    expect(digest).to.match(/^[0-9a-f]{64}$/);
    expect(findings).to.deep.equal([
      {
        severity: 'warning',
        line: 6,
        field: 'pools[0].name',
        found: '"p", a pool without servers',
        expected: 'a pool of one of the servers',
      },
    ]);
    expect(differences).to.have.length(1);
    expect(differences[0]).to.include({
      change: 'added',
      kind: 'pools',
      id: 'p',
    });
    const invalid = await runCheck(INVALID, ['--json']);
    expect(JSON.parse(invalid.printed)).to.deep.equal({
      digest: null,
      findings: [
        {
          severity: 'error',
          line: 2,
          field: 'zones[0].region',
          found: 'nothing',
          expected: 'a value',
        },
      ],
      differences: null,
    });
  });
});
