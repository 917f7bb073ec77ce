import {
  BackendConnections,
  HttpEngineClient,
  HttpServiceClient,
} from '@savoryspur/backends';
import {expect} from 'chai';
import {FaultyServer} from './faulty_server.js';

const KEY = 'sk-caller-secret';

const TIMEOUTS = {
  connectTimeoutMs: 500,
  firstByteTimeoutMs: 2000,
  idleTimeoutMs: 2000,
};

/** Headers in which a client may send its key. */
const KEY_HEADERS = [
  'authorization',
  'Authorization',
  'x-api-key',
  'api-key',
  'cookie',
  'proxy-authorization',
  'forwarded',
  'x-forwarded-for',
  'x-forwarded-authorization',
  'x-original-authorization',
  'x-goog-api-key',
  'x-auth-token',
  'openai-organization',
  'referer',
  'via',
];

/** Paths and queries in which a client may send its key. */
const PATHS_WITH_KEY = [
  `/v1/lots?key=${KEY}`,
  `/v1/lots?api_key=${KEY}&grade=2`,
  `/v1/lots?grade=2&API-Key=${KEY}`,
  `/v1/lots?apikey=${KEY}#key=${KEY}`,
  `/v1/lots?access_token=${KEY}`,
  `/v1/lots?api%5Fkey=${KEY}`,
  `/v1/lots?%61pi_key=${KEY}`,
];

/** Bodies in which a client may send its key. */
const BODIES_WITH_KEY = [
  {type: 'application/json', body: JSON.stringify({api_key: KEY, a: 1})},
  {type: 'application/json; charset=utf-8', body: `{"apiKey":"${KEY}"}`},
  {
    type: 'application/x-www-form-urlencoded',
    body: `grade=2&api_key=${KEY}`,
  },
];

describe('keys of callers', () => {
  const connections = new BackendConnections({
    maxIdleMs: 1000,
    maxConnections: 4,
  });
  const server = new FaultyServer((request, answer) => {
    answer.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
    answer.end('{}');
  });
  let serverUrl = '';

  before(async () => {
    serverUrl = await server.start();
  });
  after(async () => {
    await connections.close();
    await server.stop();
  });

  async function callService(
    path: string,
    headers: Record<string, string>,
    body: string,
  ): Promise<string> {
    const client = new HttpServiceClient(connections);
    const result = await client.call({
      serverUrl,
      method: 'POST',
      path,
      headers,
      body: Buffer.from(body),
      requestId: 'r1',
      signal: new AbortController().signal,
      timeouts: TIMEOUTS,
    });
    expect(result.isOk()).to.equal(true);
    return JSON.stringify(server.seen.at(-1));
  }

  for (const name of KEY_HEADERS) {
    it(`are not forwarded in the header ${name}`, async () => {
      const headers = {[name]: `Bearer ${KEY}`, accept: 'text/plain'};
      const seen = await callService('/v1/lots', headers, '');
      expect(seen).not.to.include(KEY);
      expect(seen).to.include('text/plain');
    });
  }

  for (const path of PATHS_WITH_KEY) {
    it(`are not forwarded in ${path}`, async () => {
      const seen = await callService(path, {}, '');
      expect(seen).not.to.include(KEY);
      if (path.includes('grade=2')) expect(seen).to.include('grade=2');
    });
  }

  for (const {type, body} of BODIES_WITH_KEY) {
    it(`are not forwarded in the body ${body}`, async () => {
      const headers = {'content-type': type};
      const seen = await callService('/v1/lots', headers, body);
      expect(seen).not.to.include(KEY);
    });
  }

  it('are not forwarded to engines in body or query', async () => {
    const client = new HttpEngineClient(connections);
    const result = await client.complete({
      serverUrl,
      path: `/v1/completions?api_key=${KEY}`,
      body: {api_key: KEY, 'x-api-key': KEY, prompt: 'p'},
      requestId: 'r2',
      signal: new AbortController().signal,
      timeouts: TIMEOUTS,
    });
    expect(result.isOk()).to.equal(true);
    const seen = JSON.stringify(server.seen.at(-1));
    expect(seen).not.to.include(KEY);
    expect(seen).to.include('prompt');
  });
});
