// The items of batch submissions are large, though each submission is within the
// limits of the desired state, and clients of the tenant request their bodies.
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
const READING_MS = 95_000;

/** Time until the platform starts a process that has ended. */
const RESTART_MS = 500;

/** Ends of a process, and share of the machines, from which the rule counts them. */
const ENDS = 3;
const MACHINES = Math.max(2, DAEMONS / 10);

const EVENTS = 188;
const EVENT_PAUSE_MS = 20;

await runCase(import.meta.url, async ({record, hasTrouble, cleanUps}) => {
  const store = new Store();
  store.onRefused = (line) => record.add(`the store refused a write: ${line}`);
  const address = await store.start('127.0.0.1');
  cleanUps.push(() => store.close());
  const events = Array.from({length: EVENTS}, (none, i) => `piece ${i}`);
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(`i-${index}`, (run, response, self) =>
      self.stream(run, response, events, EVENT_PAUSE_MS),
    );
    await server.start('127.0.0.1');
    cleanUps.push(() => server.close());
    store.put('servers', server.id, server.describe('assist', 'zone-a'));
  }
  store.put('op', 'config', createConfig());
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
  await Promise.all([
    submitAll(),
    ...fleet.daemons.map((daemon) => requestBodies(daemon)),
    ...fleet.daemons.map((daemon) => restart(daemon)),
  ]);
  record.add(`bodies: ${JSON.stringify(bodies)}`);
  if (accepted.length === 0) throw new CannotRunError('nothing was accepted');
  record.add(
    `ends of their own: ${fleet.daemons.map(({ends}) => ends.length).join(' ')}`,
  );
  const ending = fleet.daemons.filter(({ends}) => ends.length >= ENDS);
  return ending.length >= MACHINES
    ? [
        `Fault: on ${ending.length} of ${DAEMONS} machines the process ended by itself ${ENDS} times or more`,
      ]
    : [];
});
