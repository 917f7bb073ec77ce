/** Tests of the engine process: answers, load, warm-up and faults. */
import {SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {
  buildPrompt,
  computeAnswer,
  EngineProcess,
  PlatformProcess,
  type StandInArgs,
  startStandIn,
} from '../src/index.js';

const clock = new SystemClock();

/** Fields and events that were read of one streamed answer. */
interface ReadStream {
  requestId: string | null;
  ids: number[];
  data: string[];
  isBroken: boolean;
}

/** Options of a request beside its prompt. */
interface SendOptions {
  stream?: boolean;
  maxTokens?: number;
  signal?: AbortSignal;
}

async function readStream(answer: Response): Promise<ReadStream> {
  let text = '';
  let isBroken = false;
  try {
    const decoder = new TextDecoder();
    for await (const bytes of answer.body!) {
      text += decoder.decode(bytes as Uint8Array, {stream: true});
    }
  } catch {
    isBroken = true;
  }
  return {
    requestId: answer.headers.get('x-request-id'),
    ids: [...text.matchAll(/^id: (\d+)$/gm)].map((m) => Number(m[1])),
    data: [...text.matchAll(/^data: (.*)$/gm)].map((m) => m[1]!),
    isBroken,
  };
}

/** Fields of a JSON answer that the tests read. */
interface JsonAnswer {
  id: string;
  choices: Array<{message: {content: string}; finish_reason: string}>;
  error: {code: string};
}

async function readJsonAnswer(answer: Response): Promise<JsonAnswer> {
  return (await answer.json()) as JsonAnswer;
}

function joinText(data: string[]): string {
  return data
    .filter((d) => d !== '[DONE]')
    .map((d) => JSON.parse(d).choices[0]?.delta.content ?? '')
    .join('');
}

function computeExpected(content: string, maxTokens?: number): string {
  const prompt = buildPrompt({messages: [{role: 'user', content}]});
  return computeAnswer(prompt, maxTokens);
}

describe('engine process', () => {
  let engine: EngineProcess;
  let lastId = 0;

  const start = async (args: StandInArgs) => {
    const fast = {'first-token-ms': 5, 'between-tokens-ms': 1};
    engine = await startStandIn(
      EngineProcess,
      'engine_main',
      {...fast, 'keep-ms': 60_000, ...args},
      clock,
    );
  };

  afterEach(() => engine.stop());

  const send = (content: string, options: SendOptions = {}) => {
    lastId += 1;
    const body = {
      model: 'm',
      messages: [{role: 'user', content}],
      stream: options.stream,
      max_tokens: options.maxTokens,
    };
    return fetch(`${engine.url}/v1/chat/completions`, {
      method: 'POST',
      headers: {'x-request-id': `r${lastId}`},
      body: JSON.stringify(body),
      signal: options.signal ?? null,
    });
  };

  const stream = async (content: string) =>
    readStream(await send(content, {stream: true}));

  const get = async <T>(path: string) =>
    (await (await fetch(`${engine.url}${path}`)).json()) as T;

  it('computes the same answer to a prompt, streamed or not', async () => {
    await start({warm: true});
    const read = await stream('lot 7');
    expect(read.ids).to.deep.equal(read.ids.map((id, index) => index));
    expect(read.data.at(-1)).to.equal('[DONE]');
    expect(joinText(read.data)).to.equal(computeExpected('lot 7'));
    const nonStreamed = await readJsonAnswer(
      await send('lot 7', {maxTokens: 3}),
    );
    const choice = nonStreamed.choices[0];
    expect(choice?.message.content).to.equal(computeExpected('lot 7', 3));
    expect(choice?.finish_reason).to.equal('length');
    expect(computeExpected('lot 8')).not.to.equal(computeExpected('lot 7'));
  });

  it('resumes a stream after any event', async () => {
    await start({warm: true});
    const complete = await stream('resume me');
    const url = `${engine.url}/v1/streams/r${lastId}?after=4`;
    const resumed = await readStream(await fetch(url));
    expect(resumed.data).to.deep.equal(complete.data.slice(5));
    expect(resumed.ids[0]).to.equal(5);
    await engine.setFaults({forgetStreams: true});
    expect((await fetch(url)).status).to.equal(404);
  });

  it('keeps generating after the client disconnected, until it is cancelled', async () => {
    await start({warm: true, 'between-tokens-ms': 10_000});
    const caller = new AbortController();
    const answer = await send('x', {stream: true, signal: caller.signal});
    expect(answer.status).to.equal(200);
    caller.abort();
    expect((await engine.getStats()).running).to.equal(1);
    const url = `${engine.url}/v1/streams/r${lastId}/cancel`;
    for (let i = 0; i < 2; i += 1) {
      expect((await fetch(url, {method: 'POST'})).status).to.equal(204);
    }
    const stats = await engine.getStats();
    expect(stats).to.include({running: 0, cancelled: 1});
  });

  it('crashes when overloaded while cold, and restarts cold', async () => {
    await start({
      'cold-capacity': 2,
      'first-token-ms': 10_000,
      'restart-ms': 10,
    });
    const {boot} = await engine.getStats();
    const sends = ['a', 'b', 'c'].map((p) => send(p, {stream: true}));
    const results = await Promise.allSettled(sends);
    expect(results.every((r) => r.status === 'rejected')).to.equal(true);
    const stats = await engine.getStats();
    expect(stats).to.include({crashes: 1, maxRunningCold: 3, isCold: true});
    expect(stats.boot).not.to.equal(boot);
  });

  it('survives its cold capacity, and more once completed requests warmed it up', async () => {
    await start({'cold-capacity': 2, 'cold-requests': 3});
    await Promise.all([stream('a'), stream('b')]);
    expect((await engine.getStats()).isCold).to.equal(true);
    await stream('c');
    expect((await engine.getStats()).isCold).to.equal(false);
    await engine.adjust({firstTokenMs: 1000});
    await Promise.all(['d', 'e', 'f', 'g'].map((p) => stream(p)));
    const stats = await engine.getStats();
    expect(stats).to.include({crashes: 0, maxRunning: 4, maxRunningCold: 2});
    await engine.setCold();
    const cold = await engine.getStats();
    expect(cold).to.include({isCold: true, boot: stats.boot});
  });

  it('crashes on a marked prompt, which breaks concurrent requests too', async () => {
    await start({warm: true, 'between-tokens-ms': 10_000, 'restart-ms': 10});
    const concurrent = readStream(await send('innocent', {stream: true}));
    const results = await Promise.allSettled([send('please CRASH now')]);
    expect(results[0]?.status).to.equal('rejected');
    expect((await concurrent).isBroken).to.equal(true);
    expect((await engine.getStats()).crashes).to.equal(1);
  });

  it('resets connections until it has restarted', async () => {
    const isUp = async () =>
      (await Promise.allSettled([send('x')]))[0]?.status === 'fulfilled';
    await start({warm: true, 'restart-ms': 600_000});
    await engine.fail();
    expect(await isUp()).to.equal(false);
    await engine.stop();
    await start({warm: true, 'restart-ms': 10});
    await engine.fail();
    while (!(await isUp())) await clock.sleep(20);
  });

  it('answers a prompt with the fail marker with 500 each time', async () => {
    await start({warm: true});
    for (let i = 0; i < 2; i += 1) {
      expect((await send('IMPOSSIBLE lot')).status).to.equal(500);
    }
  });

  it('truncates, resets and duplicates streams', async () => {
    await start({warm: true});
    await engine.setFaults({truncated: {next: 1}});
    const truncated = await stream('a');
    expect(truncated.isBroken).to.equal(false);
    expect(truncated.data).to.have.length(4).and.not.include('[DONE]');
    await engine.setFaults({reset: {next: 1}});
    expect((await stream('b')).isBroken).to.equal(true);
    await engine.setFaults({duplicated: {next: 1}});
    const duplicated = await stream('c');
    expect(duplicated.ids.slice(0, 4)).to.deep.equal([0, 0, 1, 1]);
    expect((await stream('d')).ids.slice(0, 4)).to.deep.equal([0, 1, 2, 3]);
  });

  it('sends answers, streams and single events of other requests', async () => {
    await start({warm: true});
    const other = await stream('the other one');
    await engine.setFaults({crossed: {next: 1}});
    const crossed = await stream('mine');
    expect(crossed.requestId).to.equal(other.requestId);
    expect(crossed.data).to.deep.equal(other.data);
    await engine.setFaults({crossedEvent: {next: 1}});
    const mixed = await stream('mine again');
    expect(mixed.requestId).to.equal(`r${lastId}`);
    expect(mixed.ids).to.deep.equal(mixed.ids.map((id, index) => index));
    const foreignEvents = mixed.data.filter(
      (data) => data !== '[DONE]' && !data.includes(`chatcmpl-r${lastId}"`),
    );
    expect(foreignEvents).to.have.length(1);
    await engine.setFaults({crossed: {next: 1}});
    const nonStreamed = await readJsonAnswer(await send('whole'));
    expect(nonStreamed.id).not.to.equal(`chatcmpl-r${lastId}`);
  });

  it('refuses without running, fails after running, truncates JSON answers', async () => {
    await start({warm: true});
    await engine.setFaults({refused: {next: 1}});
    const refused = await send('a');
    expect(refused.status).to.equal(503);
    expect((await readJsonAnswer(refused)).error.code).to.equal('not_run');
    expect((await engine.getStats()).maxRunning).to.equal(0);
    await engine.setFaults({failed: {next: 1}});
    expect((await send('b')).status).to.equal(500);
    expect((await engine.getStats()).completed).to.equal(1);
    await engine.setFaults({truncated: {next: 1}});
    const text = await (await send('c')).text();
    expect(() => JSON.parse(text) as unknown).to.throw();
  });

  it('stalls a connection for good, and resumes its stream on a new one', async () => {
    await start({warm: true});
    await engine.setFaults({stalled: {next: 1}});
    const caller = new AbortController();
    const answer = await send('s', {stream: true, signal: caller.signal});
    const reading = readStream(answer);
    const url = `${engine.url}/v1/streams/r${lastId}?after=3`;
    const resumed = await readStream(await fetch(url));
    expect(resumed.data.at(-1)).to.equal('[DONE]');
    const state = await Promise.race([
      reading.then(() => 'ended'),
      clock.sleep(100).then(() => 'pending'),
    ]);
    expect(state).to.equal('pending');
    caller.abort();
    expect((await reading).data).to.have.length(4);
  });

  it('answers after the delay of the late fault', async () => {
    await start({warm: true});
    await engine.setFaults({late: {next: 1}, lateMs: 300});
    const startedAtMs = clock.now();
    await stream('l');
    expect(clock.now() - startedAtMs).to.be.greaterThan(290);
  });

  it('caches a limited number of prefixes and publishes events', async () => {
    const cache = {'cache-entries': 1, 'cache-lag-ms': 0, 'cache-gaps': 0};
    await start({warm: true, ...cache});
    for (const content of ['a', 'a', 'b']) await stream(content);
    const stats = await engine.getStats();
    expect(stats).to.include({prefixHits: 1, prefixMisses: 2});
    const path = '/v1/cache/events?after=1';
    const {events} = await get<{events: Array<{kind: string}>}>(path);
    const kinds = events.map((event) => event.kind);
    expect(kinds).to.deep.equal(['stored', 'evicted']);
  });

  it('publishes cache events after the delay', async () => {
    await start({warm: true, 'cache-lag-ms': 600_000, 'cache-gaps': 0});
    await stream('a');
    expect(await get('/v1/cache/events?after=0')).to.deep.equal({events: []});
  });

  it('loses cache events with the given probability', async () => {
    await start({warm: true, 'cache-lag-ms': 0, 'cache-gaps': 1});
    await stream('a');
    expect(await get('/v1/cache/events?after=0')).to.deep.equal({events: []});
  });

  it('refreshes its load report periodically', async () => {
    const slow = {warm: true, 'between-tokens-ms': 10_000};
    const load = async () => (await get<{running: number}>('/v1/load')).running;
    await start({...slow, 'load-lag-ms': 600_000});
    await send('x', {stream: true});
    expect((await engine.getStats()).running).to.equal(1);
    expect(await load()).to.equal(0);
    await engine.stop();
    await start({...slow, 'load-lag-ms': 10});
    await send('x', {stream: true});
    while ((await load()) === 0) await clock.sleep(20);
  });

  for (const isIgnored of [false, true]) {
    const verb = isIgnored ? 'ignores' : 'honours';
    it(`${verb} fencing tokens of orders`, async () => {
      await start({warm: true, 'ignore-fencing': isIgnored});
      const order = async (fencing: number, role: string) => {
        const body = JSON.stringify({fencing, order: {kind: 'role', role}});
        const url = `${engine.url}/v1/orders`;
        return (await fetch(url, {method: 'POST', body})).status;
      };
      expect(await order(5, 'new')).to.equal(200);
      expect((await engine.getStats()).isCold).to.equal(true);
      expect(await order(4, 'old')).to.equal(isIgnored ? 200 : 409);
      const {role} = await get<{role: string}>('/v1/orders');
      expect(role).to.equal(isIgnored ? 'old' : 'new');
    });
  }

  it('loads models from the weight store, with retries after refusals', async () => {
    const platform = await startStandIn(
      PlatformProcess,
      'platform_main',
      {},
      clock,
    );
    await platform.setFaults({weights: {refuse: true}});
    await start({warm: true, models: 'm:1', 'weight-url': platform.url});
    const order = {kind: 'load', model: 'm', version: '2'};
    const body = JSON.stringify({fencing: 1, order});
    await fetch(`${engine.url}/v1/orders`, {method: 'POST', body});
    const readModels = async () =>
      (await get<{models: unknown}>('/v1/orders')).models;
    const countRefused = async () =>
      (await platform.getStats()).weights.refused;
    while ((await countRefused()) < 2) await clock.sleep(20);
    expect(await readModels()).to.deep.equal([{name: 'm', version: '1'}]);
    expect((await engine.getStats()).isCold).to.equal(false);
    await platform.setFaults({weights: {}});
    while (!(await engine.getStats()).isCold) await clock.sleep(20);
    expect(await readModels()).to.deep.equal([{name: 'm', version: '2'}]);
    await platform.stop();
  });

  it('records the ids, headers, texts and arrivals of requests', async () => {
    await start({warm: true});
    await stream('a secret-key in the body');
    const stats = await engine.getStats();
    expect(stats.requests).to.deep.equal({[`r${lastId}`]: 1});
    expect(stats.headers['x-request-id']).to.deep.equal([`r${lastId}`]);
    expect((await engine.findText('secret-key')).found).to.equal(1);
    expect((await engine.findText('other-key')).found).to.equal(0);
    const [arrival] = await engine.listArrivals();
    expect(arrival?.requestId).to.equal(`r${lastId}`);
    expect(arrival?.tag).to.equal('user: a secret-key in the body');
  });
});
