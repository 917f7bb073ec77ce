import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  sleepMs,
} from '@savoryspur/proofs';
import {expect} from 'chai';
import {request} from 'undici';

const {secret} = SITE_WORKSPACES[0]!;

/** The secret as JSON text with escapes in place of its characters. */
const ESCAPED_SECRET = [...secret]
  .map((c) => `\\u${c.charCodeAt(0).toString(16).padStart(4, '0')}`)
  .join('');

/** The secret with each character percent-encoded. */
const ENCODED_SECRET = [...secret]
  .map((c) => `%${c.charCodeAt(0).toString(16)}`)
  .join('');

/** Key of another workspace that the same client has. */
const SECOND_SECRET = SITE_WORKSPACES[1]!.secret;

/** Headers by which a caller presents its key. */
const PRESENTED: ReadonlyArray<Record<string, string>> = [
  {authorization: `Bearer ${secret}`},
  {authorization: `bearer  ${secret}`},
  {'x-api-key': secret},
  {'api-key': secret},
];

/** One more place in which a client may put a key. */
interface KeyPlace {
  headers?: Record<string, string>;
  query?: string;
  /** Members of the JSON body, as text. */
  members?: string;
}

/** Places of the key beside the header that presents it. */
const PLACES: Record<string, KeyPlace> = {
  none: {},
  'x-api-key': {headers: {'x-api-key': secret}},
  'api-key': {headers: {'api-key': secret}},
  cookie: {headers: {cookie: `session=${secret}`}},
  'proxy-authorization': {
    headers: {'proxy-authorization': `Bearer ${secret}`},
  },
  'user-agent': {headers: {'user-agent': `client ${secret}`}},
  referer: {headers: {referer: `http://caller/?key=${secret}`}},
  'x-request-id': {headers: {'x-request-id': secret}},
  'idempotency-key': {headers: {'idempotency-key': secret}},
  tracestate: {headers: {tracestate: `caller=${secret}`}},
  'accept-language': {headers: {'accept-language': secret}},
  'content-type': {headers: {'content-type': `application/json; k=${secret}`}},
  'if-match': {headers: {'if-match': `"${secret}"`}},
  'query api_key': {query: `?api_key=${secret}`},
  'query of another name': {query: `?lot=${secret}`},
  'encoded query': {query: `?lot=${ENCODED_SECRET}`},
  'query with a broken escape': {query: `?lot=${ENCODED_SECRET}&x=%zz`},
  'field api_key': {members: `"api_key":"${secret}"`},
  'field authorization': {members: `"authorization":"Bearer ${secret}"`},
  'field user': {members: `"user":"${secret}"`},
  'field inside a field': {members: `"metadata":{"key":"${secret}"}`},
  'name of a field': {members: `"${secret}":1`},
  'a second key': {
    headers: {'x-api-key': SECOND_SECRET, 'api-key': SECOND_SECRET},
    members: `"user":"${SECOND_SECRET}"`,
  },
  'escaped field': {members: `"user":"${ESCAPED_SECRET}"`},
};

const PATHS = [
  '/v1/chat/completions',
  '/ledger/grades',
  '/ledger/invoices',
  '/ledger/hours',
];

describe('point 5: no backend server sees a key', () => {
  let site: Site;

  before(async () => {
    site = await Site.start({
      zones: ['langley'],
      hostsPerZone: 1,
      enginesPerZone: 1,
      servicesPerZone: 1,
      engineArgs: {warm: true},
      settings: SHORT_TIMEOUT_SETTINGS,
      adjustDocument: (document) => {
        for (const workspace of document.workspaces ?? []) {
          Object.assign(workspace, {rate: 1000, burst: 2000});
        }
      },
    });
  });

  after(() => site?.stop());

  /** Counts the requests to all backend servers that contain a text. */
  async function countSeen(text: string): Promise<number> {
    const {engines, services} = site.standIns;
    let found = 0;
    for (const server of [...engines, ...services]) {
      const seen = await server.findText(text);
      expect(seen.dropped, 'requests no longer held').to.equal(0);
      found += seen.found;
    }
    return found;
  }

  /** Counts the requests that contain the key, plain or encoded. */
  async function countSecrets(): Promise<number> {
    const spellings = [secret, SECOND_SECRET, ENCODED_SECRET, ESCAPED_SECRET];
    let found = 0;
    for (const text of spellings) found += await countSeen(text);
    return found;
  }

  async function send(
    path: string,
    presented: Record<string, string>,
    place: KeyPlace,
    isStream: boolean,
  ): Promise<number> {
    const url = site.fleet.listCallerUrls()[0]!;
    const body = JSON.stringify({
      model: SITE_MODEL,
      messages: [{role: 'user', content: 'seen-by-the-server'}],
      callId: 'seen-by-the-server',
      stream: isStream,
    });
    const members = place.members === undefined ? '' : `,${place.members}`;
    const answer = await request(`${url}${path}${place.query ?? ''}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...place.headers,
        ...presented,
      },
      body: `${body.slice(0, -1)}${members}}`,
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  for (const [name, place] of Object.entries(PLACES)) {
    it(`keeps the key away: ${name}`, async () => {
      for (const path of PATHS) {
        const seenBefore = await countSecrets();
        for (const presented of PRESENTED) {
          for (const isStream of [false, true]) {
            const status = await send(path, presented, place, isStream);
            expect(status, path).to.be.oneOf([200, 400]);
            if (name === 'none') expect(status, path).to.equal(200);
          }
        }
        const seen = (await countSecrets()) - seenBefore;
        expect(seen, `requests to servers with the key by ${path}`).to.equal(0);
      }
    });
  }

  it('control: text of a request is found at the servers', async () => {
    const {engines, services} = site.standIns;
    for (const server of [...engines, ...services]) {
      const {found} = await server.findText('seen-by-the-server');
      expect(found).to.be.greaterThan(0);
    }
  });

  it('control: a key sent to a server itself is found', async () => {
    for (const server of [
      ...site.standIns.engines,
      ...site.standIns.services,
    ]) {
      const answer = await request(`${server.url}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          authorization: 'Bearer ssp_control',
          'content-type': 'application/json',
        },
        body: '{}',
      });
      await answer.body.dump();
      await sleepMs(0);
      expect((await server.findText('ssp_control')).found).to.equal(1);
    }
  });
});
