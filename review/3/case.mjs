// The output of an item consists of JSON text: its row becomes larger than the
// store accepts, and neither it nor the items that end after it are listed.
import {createConfig, KEYS, readResults, submit} from '../lib/deployment.mjs';
import {CannotRunError, Fleet, runCase} from '../lib/fleet.mjs';
import {Server} from '../lib/server.mjs';
import {sleep, Store} from '../lib/store.mjs';

const JOB_ID = '7c41e09b52d6a3f8';
const ITEMS = 10;

/** Events of an item, and bytes of the data of one event: fewer than the largest of the site file (300 and 450). */
const EVENTS = 104;
const EVENT_BYTES = 383;

/** Bound finishS of the settings, and the calm time that the rule asks for, with time to read. */
const FINISH_S = 18;
const MARGIN_S = 4;

/** Creates the data of one event: JSON text inside JSON text, or as many letters. */
function createPiece(isJson) {
  if (!isJson) return 'n'.repeat(EVENT_BYTES);
  const marks = '\\"N\\",'.repeat(Math.ceil(EVENT_BYTES / 6));
  return marks.slice(0, EVENT_BYTES);
}

await runCase(import.meta.url, async ({record, hasTrouble, cleanUps}) => {
  const store = new Store();
  store.onRefused = (line) => record.add(`the store refused a write: ${line}`);
  const address = await store.start('127.0.0.1');
  cleanUps.push(() => store.close());
  const whole = new Set();
  const server = new Server('i-7f3a91c2', async (run, response, self) => {
    // The first item has the long output, the others have a short one.
    const isLong = run.path.endsWith('/0');
    const events = isLong
      ? Array.from({length: EVENTS}, () => createPiece(hasTrouble))
      : Array.from({length: EVENTS + 20}, (none, index) => `piece ${index}`);
    response.once('finish', () => {
      whole.add(run.id);
      record.add(`the server has sent the whole output of ${run.id}`);
    });
    await self.stream(run, response, events);
  });
  await server.start('127.0.0.1');
  cleanUps.push(() => server.close());
  store.put('op', 'config', createConfig());
  store.put('servers', server.id, server.describe('assist', 'zone-a'));
  const fleet = new Fleet({daemons: 3, store: address});
  cleanUps.push(() => fleet.stop());
  await fleet.start();
  await sleep(2000);

  const items = Array.from({length: ITEMS}, (none, index) => ({
    entityId: `e5b2907c14da6f${index}`,
    path: `/sheets/3/${index}`,
    headers: {'X-Model': 'm', 'X-Token-Usage': '540,400'},
    body: Buffer.from(`sheet ${index}`).toString('base64'),
    tokenCount: 940,
  }));
  const accepted = await submit(fleet.daemons[0], KEYS.one, JOB_ID, items);
  record.add(`submission of ${ITEMS} items: ${accepted.status}`);
  if (accepted.status !== 202)
    throw new CannotRunError(`the submission got ${accepted.status}`);

  const untilMs = Date.now() + 20_000;
  while (whole.size < ITEMS && Date.now() < untilMs) await sleep(200);
  if (whole.size < ITEMS) throw new CannotRunError('items did not run');
  const runs = server.runs.length;
  record.add(`all items are finished after ${runs} runs; finishS begins`);
  const endMs = Date.now() + (FINISH_S + MARGIN_S) * 1000;
  let listed = [];
  while (Date.now() < endMs) {
    const [daemon] = fleet.daemons;
    const results = await readResults(daemon, KEYS.one, JOB_ID);
    listed = results.json?.results ?? listed;
    if (listed.length === ITEMS) break;
    await sleep(1000);
  }
  // Each daemon is asked, so that no stale one decides.
  for (const daemon of fleet.daemons) {
    const results = await readResults(daemon, KEYS.one, JOB_ID);
    const found = results.json?.results ?? [];
    record.add(`${daemon.name} lists ${found.length} of ${ITEMS}`);
    if (found.length > listed.length) listed = found;
  }
  record.add(
    `runs since all items were finished: ${server.runs.length - runs}`,
  );
  const ids = new Set(listed.map(({entityId}) => entityId));
  return items
    .filter(({entityId}) => !ids.has(entityId))
    .map(
      ({entityId}) =>
        `LOST: item ${entityId}, which a server finished, is not listed ${FINISH_S + MARGIN_S} s later`,
    );
});
