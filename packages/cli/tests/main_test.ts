import fs from 'node:fs';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {ErrorCode} from '@savoryspur/common';
import {ExitCode, main} from '../src/index.js';

const RIGHT_DOCUMENT = `name = "site"
[[zones]]
name = "z1"
region = "r"
`;

/** A request that the stand-in for a daemon got. */
interface SeenRequest {
  method: string;
  url: string;
  token: string;
  body: unknown;
}

/** What the stand-in answers; without an answer it breaks the connection. */
type Responder = (
  request: SeenRequest,
) => {status: number; body: unknown} | undefined;

/** Runs the program and keeps what it prints. */
async function runMain(argv: string[], environment = {}) {
  let printed = '';
  let failed = '';
  const exitCode = await main(argv, {
    environment,
    print: (text) => (printed += text),
    printError: (text) => (failed += text),
  });
  return {exitCode, printed, failed};
}

describe('savoryspur', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'savoryspur-cli-'));
  const right = path.join(folder, 'right.toml');
  const wrong = path.join(folder, 'wrong.toml');
  const seen: SeenRequest[] = [];
  let respond: Responder = () => undefined;
  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const text = Buffer.concat(parts).toString('utf8');
    const one = {
      method: request.method ?? '',
      url: request.url ?? '',
      token: request.headers.authorization ?? '',
      body: text === '' ? undefined : (JSON.parse(text) as unknown),
    };
    seen.push(one);
    const answer = respond(one);
    if (!answer) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status).end(JSON.stringify(answer.body));
  });
  let environment = {};

  before(async () => {
    fs.writeFileSync(right, RIGHT_DOCUMENT);
    fs.writeFileSync(wrong, RIGHT_DOCUMENT.replace('region', 'reegion'));
    await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    environment = {
      SAVORYSPUR_URL: `http://127.0.0.1:${port}`,
      SAVORYSPUR_TOKEN: '0012',
    };
  });

  beforeEach(() => {
    seen.length = 0;
    respond = () => undefined;
  });

  after(() => {
    server.close();
    fs.rmSync(folder, {recursive: true});
  });

  const usageErrors: Array<[string[], string]> = [
    [
      ['frob'],
      'command: found "frob", expected one of check, diff, apply, promote, history, workspaces, keys, zone, order, status, jobs, report, explain, failures; see savoryspur --help',
    ],
    [
      ['check'],
      'file: found nothing, expected a value: savoryspur check <file>',
    ],
    [
      ['check', 'a', 'b'],
      'argument: found "b", expected no more arguments: savoryspur check <file>',
    ],
    [
      ['check', '/nope.toml'],
      'file: found "/nope.toml" (ENOENT), expected the path of an environment document',
    ],
    [
      ['status', '--frob', '3'],
      '--frob: found an unknown option, expected one of --url, --token, --operator, --json, --help, --version',
    ],
    [['status', '--url'], '--url: found no value, expected a value'],
    [
      ['status'],
      '--url: found nothing, expected an address such as http://10.0.0.1:8080 in it or in SAVORYSPUR_URL',
    ],
    [
      ['status', '--url', 'http://127.0.0.1:1'],
      "--token: found nothing, expected the operator's token in it or in SAVORYSPUR_TOKEN",
    ],
    [
      ['keys', 'lose', 'k'],
      'action: found "lose", expected one of issue, withdraw, list',
    ],
    [['keys', 'withdraw'], 'key: found nothing, expected the id of a key'],
    [
      ['order', 'e1', 'load', 'm'],
      'order: found "load m", expected load MODEL VERSION [ADAPTER], unload MODEL or role ROLE',
    ],
  ];
  for (const [argv, text] of usageErrors) {
    it(`refuses "${argv.join(' ')}"`, async () => {
      const {exitCode, failed} = await runMain(argv);
      expect(failed).to.equal(`savoryspur: ${text}\n`);
      expect(exitCode).to.equal(ExitCode.USAGE);
    });
  }

  it('checks a document without a daemon', async () => {
    const good = await runMain(['check', right, '--json']);
    expect(good.exitCode).to.equal(ExitCode.OK);
    expect(JSON.parse(good.printed)).to.include({name: 'site', zones: 1});
    const bad = await runMain(['apply', wrong], environment);
    expect(bad.exitCode).to.equal(ExitCode.INVALID_INPUT);
    expect(bad.failed).to.equal(
      `savoryspur: ${wrong}: line 2: zones[0].region: found nothing, expected a value\n`,
    );
    expect(seen).to.deep.equal([]);
  });

  it('applies on the version that the diff showed, with the token as typed', async () => {
    respond = ({url}) => ({
      status: 200,
      body: url.endsWith('/diff')
        ? {environment: 'trial', version: 41, documentDigest: 'd', changes: []}
        : {version: 42, documentDigest: 'd', isChanged: true},
    });
    const run = await runMain(
      ['apply', right, '--operator', 'ann'],
      environment,
    );
    expect(run.exitCode).to.equal(ExitCode.OK);
    expect(run.printed).to.contain('now at version 42');
    expect(seen[1]).to.deep.equal({
      method: 'POST',
      url: '/operator/v1/environments/trial/apply',
      token: 'Bearer 0012',
      body: {toml: RIGHT_DOCUMENT, baseVersion: 41, operator: 'ann'},
    });
  });

  const refusals: Array<[string, ExitCode]> = [
    [ErrorCode.CONFLICT, ExitCode.CONFLICT],
    [ErrorCode.NOT_FOUND, ExitCode.NOT_FOUND],
    [ErrorCode.UNAUTHENTICATED, ExitCode.UNAUTHENTICATED],
    [ErrorCode.AMBIGUOUS, ExitCode.UNKNOWN_OUTCOME],
    [ErrorCode.OVERLOADED, ExitCode.REFUSED],
  ];
  for (const [code, exitCode] of refusals) {
    it(`gives exit code ${exitCode} for ${code}`, async () => {
      respond = () => ({status: 400, body: {error: {code, message: 'why'}}});
      const run = await runMain(['zone', 'out', 'z1'], environment);
      expect(run).to.include({exitCode, failed: 'savoryspur: why\n'});
    });
  }

  it('tells a daemon that is away from an answer that was lost', async () => {
    const lost = await runMain(['keys', 'withdraw', 'k1'], environment);
    expect(lost.exitCode).to.equal(ExitCode.UNKNOWN_OUTCOME);
    expect(lost.failed).to.contain('may have taken effect');
    expect(seen).to.have.length(1);
    const away = ['--url', 'http://127.0.0.1:1', '--token', 't'];
    const unsent = await runMain(['keys', 'withdraw', 'k1', ...away]);
    expect(unsent.exitCode).to.equal(ExitCode.UNREACHABLE);
    expect(unsent.failed).to.equal(
      'savoryspur: url: found no answer from http://127.0.0.1:1 (ECONNREFUSED), expected the address of a running daemon\n',
    );
  });
});
