// The items of batch submissions are large, though each submission is within the
// limits of the desired state, and clients of the tenant request their bodies.
import http from 'node:http';
import {createConfig, HOST, KEYS, submit} from '../lib/deployment.mjs';
import {CannotRunError, Fleet, runCase, send} from '../lib/fleet.mjs';
import {Server} from '../lib/server.mjs';
import {sleep, Store} from '../lib/store.mjs';

const DAEMONS = 12;
const SERVERS = 6;

/** Submissions a second in all zones of the site file, and bursts of them: 6 times as many for 3 s. */
const SUBMITTED_PER_S = 0.514;
const BURST_X = 6;
const BURST_MS = 3000;
const BURSTS_AT_MS = [4000, 16_000, 28_000];
const SUBMITTING_MS = 40_000;

/** Items of a submission, and bytes of the body of one: fewer than the most of the site file (24 and 570,000). */
const ITEMS = 7;
const LARGE_BYTES = 440_000;
const SMALL_BYTES = 15_000;

/** Bodies that clients request of each daemon in a second. */
const BODIES_PER_S = 3;
const READING_MS = 85_000;

/** Streams a second that clients ask for over kept channels, at all daemons together. */
const STREAMS_PER_S = 26.6;
const STREAM_EVENTS = 27;

/** Requests that may be passed on and then get no answer. */
const MAX_LOST = 3;

/** Time until the platform starts a process that has ended. */
const RESTART_MS = 500;

/** Ends of a process, and share of the machines, from which the rule counts them. */
const ENDS = 3;
const MACHINES = Math.max(2, DAEMONS / 10);

const EVENTS = 188;
const EVENT_PAUSE_MS = 20;

/**
 * Asks for a stream on a kept channel.
 *
 * @returns whether the channel had carried a request before, and whether the whole answer came
 */
function askForStream(daemon, agent, id) {
  return new Promise((resolve) => {
    const request = http.request(
      {
        agent,
        host: daemon.ip,
        port: daemon.port,
        path: '/check/1',
        method: 'POST',
        headers: {
          Host: HOST,
          'X-Api-Key': KEYS.one,
          'X-Attempt-Id': id,
          'X-Deadline-Ms': '5000',
        },
      },
      (message) => {
        message.resume();
        message.once('close', () =>
          resolve({isKept: request.reusedSocket, isWhole: message.complete}),
        );
      },
    );
    request.once('error', () =>
      resolve({isKept: request.reusedSocket, isWhole: false}),
    );
    request.end('question');
  });
}

await runCase(import.meta.url, async ({record, hasTrouble, cleanUps}) => {
  const store = new Store();
  store.onRefused = (line) => record.add(`the store refused a write: ${line}`);
  const address = await store.start('127.0.0.1');
  cleanUps.push(() => store.close());
  const events = Array.from({length: EVENTS}, (none, i) => `piece ${i}`);
  const servers = [];
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(`i-${index}`, (run, response, self) => {
      const isOnline = run.path.startsWith('/check/');
      const made = isOnline ? events.slice(0, STREAM_EVENTS) : events;
      return self.stream(run, response, made, EVENT_PAUSE_MS);
    });
    servers.push(server);
    await server.start('127.0.0.1');
    cleanUps.push(() => server.close());
    store.put('servers', server.id, server.describe('assist', 'zone-a'));
  }
  const config = createConfig();
  config.routes.push({
    ...config.routes[0],
    name: 'r-check',
    pathPrefix: '/check/',
    kind: 'streaming',
    timeoutMs: 5000,
    targetLatencyMs: 300,
    attempts: 1,
    resumable: false,
    gapTargetMs: 600,
  });
  store.put('op', 'config', config);
  const fleet = new Fleet({daemons: DAEMONS, store: address});
  cleanUps.push(() => fleet.stop());
  await fleet.start();
  await sleep(3000);
  const startMs = Date.now();
  const passed = () => Date.now() - startMs;

  const restart = async (daemon) => {
    while (passed() < READING_MS) {
      if (daemon.child === undefined) {
        const {code, signal} = daemon.ends.at(-1);
        record.add(`${daemon.name} ended by itself: ${signal ?? code}`);
        await sleep(RESTART_MS);
        fleet.spawn(daemon);
      }
      await sleep(50);
    }
  };
  const body = Buffer.alloc(hasTrouble ? LARGE_BYTES : SMALL_BYTES, 'x');
  const encoded = body.toString('base64');
  const accepted = [];
  const submissions = {};
  const submitJob = async (jobId, daemon) => {
    const items = Array.from({length: ITEMS}, (none, index) => ({
      entityId: `item-${index}`,
      path: `/sheets/${jobId}/${index}`,
      headers: {'X-Model': 'm', 'X-Token-Usage': '540,400'},
      body: encoded,
      tokenCount: 940,
    }));
    const {status} = await submit(daemon, KEYS.one, jobId, items).catch(
      ({code, message}) => ({status: code ?? message}),
    );
    submissions[status] = (submissions[status] ?? 0) + 1;
    if (status === 202) accepted.push(jobId);
  };
  const submitAll = async () => {
    const pending = [];
    for (let job = 0; passed() < SUBMITTING_MS; job += 1) {
      const isBurst = BURSTS_AT_MS.some(
        (atMs) => passed() >= atMs && passed() < atMs + BURST_MS,
      );
      const perS = SUBMITTED_PER_S * (isBurst ? BURST_X : 1);
      pending.push(submitJob(`job-${job}`, fleet.daemons[job % DAEMONS]));
      await sleep(1000 / perS);
    }
    await Promise.all(pending);
    record.add(`submissions: ${JSON.stringify(submissions)}`);
  };
  const bodies = {};
  const requestBodies = async (daemon) => {
    for (let turn = daemon.index; passed() < READING_MS; turn += 1) {
      await sleep(1000 / BODIES_PER_S);
      const jobId = accepted[turn % Math.max(1, accepted.length)];
      if (jobId === undefined || daemon.child === undefined) continue;
      const answer = await send({
        host: daemon.ip,
        port: daemon.port,
        path: `/items/${jobId}?entityId=item-${turn % ITEMS}`,
        method: 'GET',
        headers: {Host: HOST, 'X-Api-Key': KEYS.one},
      }).catch(({code, message}) => ({status: code ?? message}));
      bodies[answer.status] = (bodies[answer.status] ?? 0) + 1;
    }
  };
  const streams = [];
  const askAll = async (daemon) => {
    const agent = new http.Agent({keepAlive: true});
    cleanUps.push(() => agent.destroy());
    for (let turn = 0; passed() < READING_MS; turn += 1) {
      await sleep((1000 * DAEMONS) / STREAMS_PER_S);
      if (daemon.child === undefined) continue;
      const id = `stream-${daemon.index}-${turn}`;
      streams.push(
        askForStream(daemon, agent, id).then((seen) => ({...seen, id})),
      );
    }
  };
  await Promise.all([
    submitAll(),
    ...fleet.daemons.map((daemon) => askAll(daemon)),
    ...fleet.daemons.map((daemon) => requestBodies(daemon)),
    ...fleet.daemons.map((daemon) => restart(daemon)),
  ]);
  record.add(`bodies: ${JSON.stringify(bodies)}`);
  if (accepted.length === 0) throw new CannotRunError('nothing was accepted');
  record.add(
    `ends of their own: ${fleet.daemons.map(({ends}) => ends.length).join(' ')}`,
  );
  const passedOn = new Set(servers.flatMap(({runs}) => runs.map(({id}) => id)));
  const seen = await Promise.all(streams);
  const lost = seen.filter(
    ({id, isKept, isWhole}) => isKept && !isWhole && passedOn.has(id),
  );
  record.add(
    `streams: ${seen.length}, whole ${seen.filter(({isWhole}) => isWhole).length}, on kept channels, passed on and cut off ${lost.length}`,
  );
  const breaches = [];
  if (lost.length > MAX_LOST) {
    breaches.push(
      `LOST: ${lost.length} requests from kept channels were passed on to sound servers and got no whole answer`,
    );
  }
  const ending = fleet.daemons.filter(({ends}) => ends.length >= ENDS);
  if (ending.length >= MACHINES) {
    breaches.push(
      `Fault: on ${ending.length} of ${DAEMONS} machines the process ended by itself ${ENDS} times or more`,
    );
  }
  return breaches;
});
