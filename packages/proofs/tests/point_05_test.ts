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

/** The secret with each character as a JSON escape sequence. */
const ESCAPED_SECRET = [...secret]
  .map((c) => `\\u${c.charCodeAt(0).toString(16).padStart(4, '0')}`)
  .join('');

/** The secret with each character percent-encoded. */
const ENCODED_SECRET = [...secret]
  .map((c) => `%${c.charCodeAt(0).toString(16)}`)
  .join('');

/** Secret of another workspace's key that the same client also sends. */
const SECOND_SECRET = SITE_WORKSPACES[1]!.secret;

/** Headers with which a caller can present its key. */
const KEY_HEADERS: ReadonlyArray<Record<string, string>> = [
  {authorization: `Bearer ${secret}`},
  {authorization: `bearer  ${secret}`},
  {'x-api-key': secret},
  {'api-key': secret},
];

/** A part of a request in which a client may also send a key. */
interface KeyLocation {
  headers?: Record<string, string>;
  query?: string;
  /** Members to add to the JSON body, as text. */
  members?: string;
}

/** Locations of the key in addition to the header that presents it. */
const KEY_LOCATIONS: Record<string, KeyLocation> = {
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
  'nested field': {members: `"metadata":{"key":"${secret}"}`},
  'name of a field': {members: `"${secret}":1`},
  'a second key': {
    headers: {'x-api-key': SECOND_SECRET, 'api-key': SECOND_SECRET},
    members: `"user":"${SECOND_SECRET}"`,
  },
  'escaped field': {members: `"user":"${ESCAPED_SECRET}"`},
};

/** Paths to an engine and to a service, by an idempotent, a non-idempotent and an open route. */
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

  /** Counts the requests that contained a text, over all backend servers. */
  async function countRequestsWith(text: string): Promise<number> {
    const {engines, services} = site.standIns;
    let found = 0;
    for (const server of [...engines, ...services]) {
      const search = await server.findText(text);
      expect(
        search.dropped,
        'requests that the server no longer keeps',
      ).to.equal(0);
      found += search.found;
    }
    return found;
  }

  /** Counts the requests that contained a secret, plain or encoded. */
  async function countRequestsWithSecrets(): Promise<number> {
    const encodings = [secret, SECOND_SECRET, ENCODED_SECRET, ESCAPED_SECRET];
    let found = 0;
    for (const text of encodings) found += await countRequestsWith(text);
    return found;
  }

  /** Sends a request with a key in its header and at one more location; returns the status. */
  async function send(
    path: string,
    keyHeaders: Record<string, string>,
    location: KeyLocation,
    isStream: boolean,
  ): Promise<number> {
    const url = site.fleet.listCallerUrls()[0]!;
    const body = JSON.stringify({
      model: SITE_MODEL,
      messages: [{role: 'user', content: 'seen-by-the-server'}],
      callId: 'seen-by-the-server',
      stream: isStream,
    });
    const members =
      location.members === undefined ? '' : `,${location.members}`;
    const answer = await request(`${url}${path}${location.query ?? ''}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...location.headers,
        ...keyHeaders,
      },
      body: `${body.slice(0, -1)}${members}}`,
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  for (const [name, location] of Object.entries(KEY_LOCATIONS)) {
    it(`removes the key: ${name}`, async () => {
      for (const path of PATHS) {
        const countBefore = await countRequestsWithSecrets();
        for (const keyHeaders of KEY_HEADERS) {
          for (const isStream of [false, true]) {
            const status = await send(path, keyHeaders, location, isStream);
            expect(status, path).to.be.oneOf([200, 400]);
            if (name === 'none') expect(status, path).to.equal(200);
          }
        }
        const count = (await countRequestsWithSecrets()) - countBefore;
        expect(count, `requests to servers with the key by ${path}`).to.equal(
          0,
        );
      }
    });
  }

  it('control: text of a request is found on the servers', async () => {
    const {engines, services} = site.standIns;
    for (const server of [...engines, ...services]) {
      const {found} = await server.findText('seen-by-the-server');
      expect(found).to.be.greaterThan(0);
    }
  });

  it('control: a key that is sent directly to a server is found', async () => {
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
