import fs from 'node:fs';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {ErrorCode} from '@savoryspur/common';
import {ExitCode, main} from '../src/index.js';

/** A valid environment document. */
const VALID_DOCUMENT = `name = "site"
[[zones]]
name = "z1"
region = "r"
`;

/** A request that the stand-in for a daemon received. */
interface ReceivedRequest {
  method: string;
  url: string;
  token: string;
  body: unknown;
}

/** Chooses the answer of the stand-in; for undefined, it closes the connection. */
type ChooseAnswer = (
  request: ReceivedRequest,
) => {status: number; body: unknown} | undefined;

/** Runs the command line; returns its exit code and what it printed. */
async function runMain(argv: string[], environment = {}) {
  let printed = '';
  let printedErrors = '';
  const exitCode = await main(argv, {
    environment,
    print: (text) => (printed += text),
    printError: (text) => (printedErrors += text),
  });
  return {exitCode, printed, printedErrors};
}

describe('savoryspur', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'savoryspur-cli-'));
  const validFile = path.join(folder, 'valid.toml');
  const invalidFile = path.join(folder, 'invalid.toml');
  const requests: ReceivedRequest[] = [];
  let chooseAnswer: ChooseAnswer = () => undefined;
  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const text = Buffer.concat(parts).toString('utf8');
    const received = {
      method: request.method ?? '',
      url: request.url ?? '',
      token: request.headers.authorization ?? '',
      body: text === '' ? undefined : (JSON.parse(text) as unknown),
    };
    requests.push(received);
    const answer = chooseAnswer(received);
    if (!answer) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status).end(JSON.stringify(answer.body));
  });
  let environment = {};

  before(async () => {
    fs.writeFileSync(validFile, VALID_DOCUMENT);
    fs.writeFileSync(invalidFile, VALID_DOCUMENT.replace('region', 'reegion'));
    await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    environment = {
      SAVORYSPUR_URL: `http://127.0.0.1:${port}`,
      SAVORYSPUR_TOKEN: '0012',
    };
  });

  beforeEach(() => {
    requests.length = 0;
    chooseAnswer = () => undefined;
  });

  after(() => {
    server.close();
    fs.rmSync(folder, {recursive: true});
  });

  const usageErrors: Array<[string[], string]> = [
    [
      ['frob'],
      'command: found "frob", expected one of check, diff, apply, promote, history, workspaces, keys, zone, order, status, jobs, report, rollout, explain, failures; see savoryspur --help',
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
      const {exitCode, printedErrors} = await runMain(argv);
      expect(printedErrors).to.equal(`savoryspur: ${text}\n`);
      expect(exitCode).to.equal(ExitCode.USAGE);
    });
  }

  it('checks a document without a daemon', async () => {
    const good = await runMain(['check', validFile, '--json']);
    expect(good.exitCode).to.equal(ExitCode.OK);
    expect(JSON.parse(good.printed)).to.include({name: 'site', zones: 1});
    const bad = await runMain(['apply', invalidFile], environment);
    expect(bad.exitCode).to.equal(ExitCode.INVALID_INPUT);
    expect(bad.printedErrors).to.equal(
      `savoryspur: ${invalidFile}: line 2: zones[0].region: found nothing, expected a value\n`,
    );
    expect(requests).to.deep.equal([]);
  });

  it('applies a document to the version of the diff, with the token as typed', async () => {
    chooseAnswer = ({url}) => ({
      status: 200,
      body: url.endsWith('/diff')
        ? {environment: 'trial', version: 41, documentDigest: 'd', changes: []}
        : {version: 42, documentDigest: 'd', isChanged: true},
    });
    const run = await runMain(
      ['apply', validFile, '--operator', 'ann'],
      environment,
    );
    expect(run.exitCode).to.equal(ExitCode.OK);
    expect(run.printed).to.contain('now at version 42');
    expect(requests[1]).to.deep.equal({
      method: 'POST',
      url: '/operator/v1/environments/trial/apply',
      token: 'Bearer 0012',
      body: {toml: VALID_DOCUMENT, baseVersion: 41, operator: 'ann'},
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
      chooseAnswer = () => ({
        status: 400,
        body: {error: {code, message: 'why'}},
      });
      const run = await runMain(['zone', 'out', 'z1'], environment);
      expect(run).to.include({exitCode, printedErrors: 'savoryspur: why\n'});
    });
  }

  it('distinguishes an unreachable daemon from a lost answer', async () => {
    const lost = await runMain(['keys', 'withdraw', 'k1'], environment);
    expect(lost.exitCode).to.equal(ExitCode.UNKNOWN_OUTCOME);
    expect(lost.printedErrors).to.contain('may have taken effect');
    expect(requests).to.have.length(1);
    const unreachableOptions = ['--url', 'http://127.0.0.1:1', '--token', 't'];
    const unsent = await runMain([
      'keys',
      'withdraw',
      'k1',
      ...unreachableOptions,
    ]);
    expect(unsent.exitCode).to.equal(ExitCode.UNREACHABLE);
    expect(unsent.printedErrors).to.equal(
      'savoryspur: url: found no answer from http://127.0.0.1:1 (ECONNREFUSED), expected the address of a running daemon\n',
    );
  });

  it('shows the status and the history of rollouts without a token', async () => {
    const ended = {
      target: 'v1',
      phase: 'rolled_back',
      reason: 'failures',
      startedMs: 0,
      endedMs: 2500,
      requests: 200,
      targetRequests: 10,
    };
    const rollout = {
      service: 'model',
      isDecider: true,
      target: 'v2',
      phase: 'watching',
      requests: 100,
      targetRequests: 5,
      history: [ended],
    };
    chooseAnswer = () => ({status: 200, body: {rollouts: [rollout]}});
    const withoutToken = {...environment, SAVORYSPUR_TOKEN: undefined};
    const status = await runMain(['rollout', 'status'], withoutToken);
    expect(status.printed).to.match(
      /model +v2 +watching +this daemon +100 +5 \(5\.0%\)/,
    );
    const history = await runMain(['rollout', 'history'], withoutToken);
    expect(history.printed).to.match(
      /model +v1 +rolled back +200 +10 \(5\.0%\) +2\.5 +failures/,
    );
    expect(requests.at(-1)?.url).to.equal('/rollouts');
  });
});
