import {
  type IssuedKey,
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  SiteOperator,
  sleepMs,
  waitUntil,
} from '@savoryspur/proofs';
import {ProxyAction} from '@savoryspur/schema';
import {expect} from 'chai';
import {request as sendHttp} from 'node:http';
import {Agent, request} from 'undici';

/** Longest wait for a change that must take effect within seconds, milliseconds. */
const MAX_WAIT_MS = 10_000;

/** Tokens of a stream that lasts longer than any wait of this test. */
const LONG_STREAM_TOKENS = 800;

const ZONES = ['langley', 'abbotsford'];

/** Zone whose links are cut. */
const CUT_ZONE = ZONES[1]!;

/** A caller's connection that stays open between requests. */
class KeepAliveConnection {
  /** Number of TCP connections that were opened. */
  opened = 0;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(
    private readonly url: string,
    private readonly key: IssuedKey,
  ) {
    this.agent.on('connect', () => (this.opened += 1));
  }

  /** Sends one request; returns the status of the answer. */
  async sendOnce(): Promise<number> {
    const answer = await request(`${this.url}/v1/models`, {
      dispatcher: this.agent,
      headers: {authorization: `Bearer ${this.key.secret}`},
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  close(): Promise<void> {
    return this.agent.close();
  }
}

function buildChat(isStream: boolean): string {
  return JSON.stringify({
    model: SITE_MODEL,
    messages: [{role: 'user', content: 'Condition of lot 6?'}],
    stream: isStream,
    max_tokens: LONG_STREAM_TOKENS,
  });
}

/** Reads a long stream to its end; returns undefined when it broke off. */
async function readStream(
  url: string,
  key: IssuedKey,
  onFirstPart: () => void,
): Promise<string | undefined> {
  const answer = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key.secret}`,
      'content-type': 'application/json',
    },
    body: buildChat(true),
  });
  let text = '';
  try {
    for await (const part of answer.body) {
      if (text === '') onFirstPart();
      text += String(part);
    }
  } catch (thrown) {
    return undefined;
  }
  return text;
}

describe('point 6: a withdrawn key stops working', () => {
  let site: Site;
  const operator = new SiteOperator();

  before(async () => {
    site = await Site.start({
      zones: ZONES,
      hostsPerZone: 2,
      enginesPerZone: 1,
      servicesPerZone: 0,
      engineArgs: {warm: true, 'between-tokens-ms': 50},
      settings: SHORT_TIMEOUT_SETTINGS,
      hasProxies: true,
    });
  });

  after(() => site?.stop());

  /** Issues a key and waits until every host accepts it. */
  async function issueKey(): Promise<IssuedKey> {
    const urls = site.fleet.listCallerUrls();
    const {name} = SITE_WORKSPACES[0]!;
    const key = await operator.issueKey(urls[0]!, name);
    for (const url of urls) {
      expect(await waitForStatus(url, key, 200), url).to.equal(true);
    }
    return key;
  }

  /** Repeats a request until it gets a status; returns whether it did in time. */
  async function waitForStatus(
    url: string,
    key: IssuedKey,
    status: number,
  ): Promise<boolean> {
    const connection = new KeepAliveConnection(url, key);
    const isReached = await waitUntil(
      async () => (await connection.sendOnce()) === status,
      MAX_WAIT_MS,
    );
    await connection.close();
    return isReached;
  }

  /** Withdraws a key while connections and streams that use the key are open. */
  async function withdrawUnderTraffic(label: string): Promise<void> {
    const key = await issueKey();
    const urls = site.fleet.listCallerUrls();
    const connections = urls.map((url) => new KeepAliveConnection(url, key));
    for (const connection of connections) {
      expect(await connection.sendOnce()).to.equal(200);
    }
    let started = 0;
    let ended = 0;
    const streams = urls.map(async (url) => {
      const text = await readStream(url, key, () => (started += 1));
      ended += 1;
      return text;
    });
    await waitUntil(async () => started === urls.length, MAX_WAIT_MS);
    expect(ended, 'streams that ended before the withdrawal').to.equal(0);
    const startMs = performance.now();
    await operator.withdrawKey(urls[0]!, key.id);
    const refusals = connections.map(async (connection) => {
      const isRefused = await waitUntil(
        async () => (await connection.sendOnce()) === 401,
        MAX_WAIT_MS,
      );
      expect(isRefused, 'refused on an open connection').to.equal(true);
      return performance.now() - startMs;
    });
    const refusalTimesMs = await Promise.all(refusals);
    const allEnded = await waitUntil(
      async () => ended === urls.length,
      MAX_WAIT_MS,
    );
    expect(allEnded, 'every stream ended').to.equal(true);
    const endedMs = performance.now() - startMs;
    for (const text of await Promise.all(streams)) {
      expect(text, 'end of a stream').to.match(/"error":\{.*"code":/);
      expect(text).not.to.include('[DONE]');
    }
    for (const connection of connections) {
      expect(connection.opened, 'connections opened').to.equal(1);
      await connection.close();
    }
    console.log(
      `${label}: refused on ${urls.length} hosts after at most ${Math.max(...refusalTimesMs).toFixed(0)} ms, ${streams.length} streams ended after ${endedMs.toFixed(0)} ms`,
    );
  }

  it('is refused on open connections, and its running streams end', () =>
    withdrawUnderTraffic('whole site'));

  it('is refused in a zone whose links to the storage are cut', async () => {
    await site.fleet.links!.applyFaultToPlatformLink(CUT_ZONE, ProxyAction.CUT);
    // The daemons of the zone learn of the key and its withdrawal from their peers.
    await withdrawUnderTraffic('zone cut from the storage');
    await site.fleet.links!.applyFaultToPlatformLink(
      CUT_ZONE,
      ProxyAction.HEAL,
    );
  });

  it('refuses a request whose body is complete only after the withdrawal', async () => {
    const key = await issueKey();
    const url = site.fleet.listCallerUrls()[0]!;
    const body = buildChat(false);
    const sending = sendHttp(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key.secret}`,
        'content-type': 'application/json',
        'content-length': String(body.length),
      },
    });
    const status = new Promise<number | undefined>((resolve, reject) => {
      sending.on('error', reject);
      sending.on('response', (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      });
    });
    sending.write(body.slice(0, 10));
    await sleepMs(200);
    await operator.withdrawKey(url, key.id);
    expect(await waitForStatus(url, key, 401)).to.equal(true);
    sending.end(body.slice(10));
    expect(await status).to.equal(401);
  });

  it('control: a zone cut from storage and peers still accepts the key', async () => {
    const key = await issueKey();
    const links = site.fleet.links!;
    await links.applyFaultToPlatformLink(CUT_ZONE, ProxyAction.CUT);
    await links.applyFaultBetweenZones(CUT_ZONE, ProxyAction.CUT);
    const urls = site.fleet.listCallerUrls();
    await operator.withdrawKey(urls[0]!, key.id);
    expect(await waitForStatus(urls[0]!, key, 401)).to.equal(true);
    for (const daemon of site.fleet.listDaemons(CUT_ZONE)) {
      const connection = new KeepAliveConnection(daemon.callerUrl, key);
      expect(await connection.sendOnce()).to.equal(200);
      await connection.close();
    }
    await links.applyFaultBetweenZones(CUT_ZONE, ProxyAction.HEAL);
    await links.applyFaultToPlatformLink(CUT_ZONE, ProxyAction.HEAL);
    for (const url of urls) {
      expect(await waitForStatus(url, key, 401), url).to.equal(true);
    }
  });
});
