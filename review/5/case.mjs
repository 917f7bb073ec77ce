// A server answers an item with 500 and sends that answer a second time, late:
// at the point where the answer to the item's next run is expected.
import {createConfig, KEYS, readResults, submit} from '../lib/deployment.mjs';
import {CannotRunError, Fleet, runCase} from '../lib/fleet.mjs';
import {Server} from '../lib/server.mjs';
import {sleep, Store} from '../lib/store.mjs';

const ATTEMPTS = 2;

/** Answers of the run, and those sent a second time: 2 of 100, less than the share of the site file. */
const ITEMS = 98;
const FAILING_ITEMS = 2;

const RESULTS_TIMEOUT_MS = 40_000;

await runCase(import.meta.url, async ({record, hasTrouble, cleanUps}) => {
  const store = new Store();
  const address = await store.start('127.0.0.1');
  cleanUps.push(() => store.close());
  const events = Array.from({length: 20}, (none, index) => `piece ${index}`);
  /** Number of answers of 500 that were made, by item. */
  const failures = new Map();
  /** Second copies that are still to be sent, by connection. */
  const lateCopies = new WeakMap();
  let copies = 0;
  const server = new Server('i-7f3a91c2', async (run, response, self) => {
    const {socket} = response;
    const copy = lateCopies.get(socket);
    if (copy) {
      lateCopies.delete(socket);
      copies += 1;
      socket.write(copy);
      record.add(`the server sends a second copy before it answers ${run.id}`);
      await sleep(20);
    }
    const isFailing = Number(run.path.split('/').at(-1)) < FAILING_ITEMS;
    if (!isFailing || failures.has(run.id)) {
      if (isFailing) record.add(`the server answers ${run.id} with 200`);
      return self.stream(run, response, events);
    }
    failures.set(run.id, 1);
    record.add(`the server answers ${run.id} with 500`);
    const headers = self.sign(run);
    if (hasTrouble) {
      const lines = Object.entries(headers).map(([n, v]) => `${n}: ${v}\r\n`);
      const head = `HTTP/1.1 500 Internal Server Error\r\n${lines.join('')}`;
      lateCopies.set(socket, `${head}Content-Length: 6\r\n\r\nfailed`);
    }
    response.writeHead(500, {...headers, 'Content-Length': 6}).end('failed');
  });
  await server.start('127.0.0.1');
  cleanUps.push(() => server.close());
  store.put('op', 'config', createConfig({batch: {attempts: ATTEMPTS}}));
  store.put('servers', server.id, server.describe('assist', 'zone-a'));
  const fleet = new Fleet({daemons: 2, store: address});
  cleanUps.push(() => fleet.stop());
  await fleet.start();
  await sleep(2000);

  const [daemon] = fleet.daemons;
  const results = [];
  const runJob = async (jobId, items) => {
    const accepted = await submit(daemon, KEYS.one, jobId, items);
    record.add(`submission of ${items.length} items: ${accepted.status}`);
    if (accepted.status !== 202)
      throw new CannotRunError(`the submission got ${accepted.status}`);
    const untilMs = Date.now() + RESULTS_TIMEOUT_MS;
    let listed = [];
    while (Date.now() < untilMs && listed.length < items.length) {
      await sleep(300);
      const read = await readResults(daemon, KEYS.one, jobId);
      listed = read.json?.results ?? listed;
    }
    record.add(`${listed.length} of ${items.length} items are listed`);
    if (listed.length < items.length)
      throw new CannotRunError('items are not listed');
    results.push(...listed);
  };
  const items = Array.from({length: ITEMS}, (none, index) => ({
    entityId: `e5b2907c14da6f${index}`,
    path: `/sheets/3/${index}`,
    headers: {'X-Model': 'm', 'X-Token-Usage': '540,400'},
    body: Buffer.from(`sheet ${index}`).toString('base64'),
    tokenCount: 940,
  }));
  await runJob('7c41e09b52d6a300', items.slice(FAILING_ITEMS));
  for (const item of items.slice(0, FAILING_ITEMS))
    await runJob(`7c41e09b52d6a3${item.entityId}`, [item]);
  record.add(`runs ${server.runs.length}, second copies ${copies}`);
  return results
    .filter(({state}) => state === 'dead_lettered')
    .map(({entityId}) => ({entityId, made: failures.get(entityId) ?? 0}))
    .filter(({made}) => made < ATTEMPTS)
    .map(
      ({entityId, made}) =>
        `MIXED: item ${entityId} is dead_lettered after ${made} answers of 500, attempts is ${ATTEMPTS}`,
    );
});
