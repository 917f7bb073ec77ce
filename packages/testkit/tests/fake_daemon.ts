/**
 * Minimal daemon for tests of the fleet harness. It prints a ready line, reports
 * readiness, serves the operator API for environment documents, and probes
 * whether it can reach the platform and the daemons in the host list.
 */
import fs from 'node:fs';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  type HostListAnswer,
  type Settings,
  validateSettings,
} from '@savoryspur/schema';
import {parse} from 'smol-toml';

const file = process.argv[process.argv.indexOf('--settings') + 1]!;
const settings: Settings = validateSettings(
  parse(fs.readFileSync(file, 'utf8')),
)._unsafeUnwrap();
const documents = new Map<string, string>();

async function probeLinks(): Promise<Record<string, boolean>> {
  const links: Record<string, boolean> = {};
  const list = await fetch(`${settings.platform.hostListUrl}/v1/hosts`).then(
    async (answer) => (await answer.json()) as HostListAnswer,
    () => undefined,
  );
  links.platform = list !== undefined;
  for (const {host, address, peerPort} of list?.hosts ?? []) {
    links[host] = await fetch(`http://${address}:${peerPort}/`).then(
      async (answer) => (await answer.text()) === host,
      () => false,
    );
  }
  return links;
}

async function answerOperator(
  path: string,
  request: http.IncomingMessage,
): Promise<[number, unknown]> {
  const expected = `Bearer ${settings.secrets.operator}`;
  if (request.headers.authorization !== expected) return [401, {}];
  const [environment = '', action] = path.split('/').slice(4);
  let text = '';
  for await (const part of request) text += String(part);
  const body = text === '' ? {} : (JSON.parse(text) as {toml?: string});
  if (action === 'apply') documents.set(environment, body.toml ?? '');
  if (action === 'promote') documents.set(environment, documents.get('trial')!);
  if (!documents.has(environment)) return [404, {}];
  const toml = documents.get(environment);
  return [200, {version: 1, documentDigest: 'digest', toml}];
}

async function startServer(
  port: number,
  answer: (request: http.IncomingMessage) => Promise<[number, unknown]>,
): Promise<number> {
  const server = http.createServer((request, response) => {
    void answer(request).then(([statusCode, body]) => {
      response.writeHead(statusCode, {connection: 'close'});
      response.end(typeof body === 'string' ? body : JSON.stringify(body));
    });
  });
  await new Promise<void>((done) =>
    server.listen(port, settings.listen.address, done),
  );
  return (server.address() as AddressInfo).port;
}

const {listen: ports} = settings;
const callerPort = await startServer(ports.callerPort, async (request) => {
  if (request.url === '/links') return [200, await probeLinks()];
  return answerOperator(request.url ?? '', request);
});
const peerPort = await startServer(ports.peerPort, () =>
  Promise.resolve([200, settings.host.id]),
);
const opsPort = await startServer(ports.opsPort, () =>
  Promise.resolve([200, 'ready']),
);
process.once('SIGTERM', () => process.exit(0));
const line = {ready: true, callerPort, peerPort, opsPort};
process.stdout.write(`${JSON.stringify(line)}\n`);
