import {expect} from 'chai';
import {
  checkAgainstLive,
  createConfigHandlers,
  handleOperatorRequest,
  parseLiveDocument,
} from '../src/index.js';
import {createMemoryStore, SMALL_DOCUMENT} from './documents.js';
import {TableFault} from './memory_storage.js';

/** Creates handlers over empty storage and a function that sends requests. */
function createSender() {
  const {store, table} = createMemoryStore();
  const handlers = createConfigHandlers(store);
  const send = async (method: string, path: string, body?: unknown) => {
    const url = new URL(`http://daemon/operator/v1/environments/${path}`);
    const answer = await handleOperatorRequest(handlers, method, url, body);
    return {
      status: answer.status,
      body: JSON.parse(JSON.stringify(answer.body)),
    };
  };
  return {send, table};
}

const APPLY = {toml: SMALL_DOCUMENT, baseVersion: 0, operator: 'ann'};

describe('handlers of the operator API', () => {
  it('compare, apply and promote a document', async () => {
    const {send} = createSender();
    const diff = await send('POST', 'trial/diff', {toml: SMALL_DOCUMENT});
    expect(diff.body.version).to.equal(0);
    expect(diff.body.changes).to.have.length(9);
    const applied = await send('POST', 'trial/apply', APPLY);
    expect(applied.body).to.include({version: 1, isChanged: true});
    const again = {...APPLY, baseVersion: 1};
    const unchanged = await send('POST', 'trial/apply', again);
    expect(unchanged.body).to.include({version: 1, isChanged: false});
    const promoted = await send('POST', 'production/promote', {
      from: 'trial',
      documentDigest: diff.body.documentDigest,
      baseVersion: 0,
      operator: 'ann',
    });
    expect(promoted.status).to.equal(200);
    const read = await send('GET', 'production');
    expect(read.body.documentDigest).to.equal(diff.body.documentDigest);
  });

  // Guards against a check that shows other differences than the diff.
  it('give the state from which a check computes the differences of a diff', async () => {
    const {send} = createSender();
    const toml = SMALL_DOCUMENT.replace('rate = 20', 'rate = 30');
    const compare = async () => {
      const {body} = await send('GET', 'trial');
      const live = parseLiveDocument(body.document);
      const {differences} = checkAgainstLive(toml, live!);
      const diff = await send('POST', 'trial/diff', {toml});
      expect(JSON.parse(JSON.stringify(differences))).to.deep.equal(
        diff.body.changes,
      );
      return diff.body.changes.length;
    };
    expect(await compare()).to.equal(9);
    await send('POST', 'trial/apply', APPLY);
    const request = {workspace: 'kitchens', operator: 'ann'};
    await send('POST', 'trial/keys', request);
    await send('POST', 'trial/zones/lower-1', {isOut: true, operator: 'ann'});
    expect(await compare()).to.equal(1);
  });

  it('issue, list and withdraw a key without showing its hash', async () => {
    const {send} = createSender();
    await send('POST', 'trial/apply', APPLY);
    const request = {workspace: 'kitchens', operator: 'ann'};
    const issued = await send('POST', 'trial/keys', request);
    expect(issued.body.secret).to.match(/^ssp_[\w-]{43}$/);
    const path = `trial/keys/${issued.body.id}/withdraw`;
    await send('POST', path, {operator: 'ann'});
    const {body} = await send('GET', 'trial/keys');
    expect(body.keys[0]).to.deep.equal({
      id: issued.body.id,
      workspace: 'kitchens',
      state: 'withdrawn',
    });
  });

  const refusals: Array<[string, string, unknown, number, string]> = [
    [
      'POST',
      'trial/apply',
      {...APPLY, baseVersion: 7},
      409,
      'version 7, but version 1',
    ],
    [
      'POST',
      'trial/apply',
      {...APPLY, toml: SMALL_DOCUMENT.replace('"fraser-valley"', '3')},
      400,
      'line 1: name: found 3, expected string',
    ],
    ['POST', 'trial/apply', {toml: 'x'}, 400, 'baseVersion: found nothing'],
    ['POST', 'trial/apply', undefined, 400, '(document): found nothing'],
    [
      'POST',
      'trial/zones/lower-9',
      {isOut: true, operator: 'a'},
      404,
      'zone: found "lower-9"',
    ],
    [
      'POST',
      'trial/keys',
      {workspace: 'w', operator: 'a'},
      404,
      'workspace: found "w"',
    ],
    ['POST', 'trial/keys/k/withdraw', {operator: 'a'}, 404, 'key: found "k"'],
    [
      'GET',
      'trial/history?limit=0',
      undefined,
      400,
      'limit: found "0", expected 1 to 100',
    ],
    ['GET', 'Trial%2F', undefined, 400, 'environment: found "Trial/"'],
    ['GET', 'trial/nothing', undefined, 404, 'path: found GET'],
  ];
  for (const [method, path, body, status, text] of refusals) {
    it(`refuse: ${text}`, async () => {
      const {send} = createSender();
      await send('POST', 'trial/apply', APPLY);
      const answer = await send(method, path, body);
      expect(answer.status).to.equal(status);
      expect(answer.body.error.message).to.contain(text);
    });
  }

  it('answer differently when storage is unavailable and when the outcome is unknown', async () => {
    const {send, table} = createSender();
    await send('POST', 'trial/apply', APPLY);
    table.isDown = true;
    const zone = {isOut: true, operator: 'ann'};
    const unavailable = await send('POST', 'trial/zones/lower-1', zone);
    expect(unavailable.status).to.equal(503);
    table.isDown = false;
    table.faults = [TableFault.ANSWER_LOST];
    table.afterCommit = () => (table.isDown = true);
    const ambiguous = await send('POST', 'trial/zones/lower-1', zone);
    expect(ambiguous.status).to.equal(504);
    expect(ambiguous.body.error.code).to.equal('ambiguous');
  });
});
