// An item's headers name another tenant and carry a key.
import {createConfig, KEYS, readResults, submit} from '../lib/deployment.mjs';
import {CannotRunError, Fleet, runCase} from '../lib/fleet.mjs';
import {Server} from '../lib/server.mjs';
import {sleep, Store} from '../lib/store.mjs';

const JOB_ID = '7c41e09b52d6a3f8';
const ITEMS = 6;
const RESULTS_TIMEOUT_MS = 20_000;

/** Headers that the client sends with every second item of the trouble. */
const CLIENT_HEADERS = {'X-Tenant': 'two', 'X-Api-Key': KEYS.one};

function createItem(index, hasTrouble) {
  const isOdd = hasTrouble && index % 2 === 1;
  return {
    entityId: `e5b2907c14da6f${index}`,
    path: `/sheets/3/${index}`,
    headers: {
      'X-Model': 'm',
      'X-Token-Usage': '540,400',
      ...(isOdd ? CLIENT_HEADERS : {}),
    },
    body: Buffer.from(`sheet ${index}`).toString('base64'),
    tokenCount: 940,
  };
}

/** Lists the values of a header, as they stand in the request. */
function listValues(rawHeaders, name) {
  const values = [];
  for (let at = 0; at < rawHeaders.length; at += 2) {
    if (rawHeaders[at].toLowerCase() === name) values.push(rawHeaders[at + 1]);
  }
  return values;
}

await runCase(import.meta.url, async ({record, hasTrouble, cleanUps}) => {
  const store = new Store();
  const address = await store.start('127.0.0.1');
  cleanUps.push(() => store.close());
  const events = Array.from({length: 8}, (none, index) => `piece ${index}`);
  const server = new Server('i-7f3a91c2', (run, response, self) =>
    self.stream(run, response, events),
  );
  await server.start('127.0.0.1');
  cleanUps.push(() => server.close());
  store.put('op', 'config', createConfig());
  store.put('servers', server.id, server.describe('assist', 'zone-a'));
  const fleet = new Fleet({daemons: 2, store: address});
  cleanUps.push(() => fleet.stop());
  await fleet.start();
  await sleep(2000);

  const [daemon] = fleet.daemons;
  const items = Array.from({length: ITEMS}, (none, index) =>
    createItem(index, hasTrouble),
  );
  for (const {entityId, headers} of items)
    record.add(`sent item ${entityId} with ${JSON.stringify(headers)}`);
  const accepted = await submit(daemon, KEYS.one, JOB_ID, items);
  record.add(`submission with the key of tenant one: ${accepted.status}`);
  if (accepted.status !== 202) {
    throw new CannotRunError(`the submission got ${accepted.status}`);
  }
  const untilMs = Date.now() + RESULTS_TIMEOUT_MS;
  let listed = 0;
  while (Date.now() < untilMs && listed < ITEMS) {
    const results = await readResults(daemon, KEYS.one, JOB_ID);
    listed = results.json?.results.length ?? 0;
    await sleep(300);
  }
  record.add(`${listed} of ${ITEMS} items are listed`);
  if (server.runs.length === 0) throw new CannotRunError('no item has run');

  const breaches = [];
  for (const {id, rawHeaders} of server.runs) {
    const tenants = listValues(rawHeaders, 'x-tenant');
    const keys = listValues(rawHeaders, 'x-api-key');
    record.add(
      `run of ${id}: X-Tenant ${JSON.stringify(tenants)}, X-Api-Key ${JSON.stringify(keys)}`,
    );
    if (tenants[0] !== 'one' || tenants.length !== 1) {
      breaches.push(
        `UNASKED: item ${id} of tenant one ran with X-Tenant ${JSON.stringify(tenants)}`,
      );
    }
    if (keys.length > 0)
      breaches.push(`UNASKED: the key was passed on with item ${id}`);
  }
  return breaches;
});
