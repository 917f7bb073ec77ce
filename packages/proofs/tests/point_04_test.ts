import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_WORKSPACES,
  SiteCaller,
} from '@savoryspur/proofs';
import {expect} from 'chai';

/** Prompts of the batch job by custom id. */
const ITEMS = new Map([
  ['lot-1', 'Report on lot 1'],
  ['lot-2', 'Report on lot 2'],
]);

/** Methods and paths that require a key. */
const KEYED_PATHS: ReadonlyArray<[string, string]> = [
  ['POST', '/v1/chat/completions'],
  ['POST', '/v1/completions'],
  ['GET', '/v1/models'],
  ['GET', '/v1/files'],
  ['GET', '/v1/batches'],
  ['POST', '/v1/batches'],
  ['POST', '/ledger/invoices'],
  ['POST', '/ledger/grades'],
];

/** Headers without a key, or with a key that is not valid. */
const HEADERS_WITHOUT_VALID_KEY: ReadonlyArray<Record<string, string>> = [
  {},
  {authorization: 'Bearer ssp_never-issued'},
  {'x-api-key': 'ssp_never-issued'},
  {authorization: `Basic ${SITE_WORKSPACES[0]!.secret}`},
];

describe('point 4: a request runs only for its workspace', () => {
  let site: Site;
  const ownerCaller = new SiteCaller(SITE_WORKSPACES[0]!);
  const otherCaller = new SiteCaller(SITE_WORKSPACES[1]!);

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 1,
      enginesPerZone: 1,
      servicesPerZone: 1,
      engineArgs: {warm: true},
      settings: SHORT_TIMEOUT_SETTINGS,
    });
  });

  after(() => site?.stop());

  /** Counts how often the services ran a call. */
  async function countRuns(callId: string): Promise<number> {
    let runs = 0;
    for (const service of site.standIns.services) {
      runs += (await service.getStats()).runsByCall[callId] ?? 0;
    }
    return runs;
  }

  it('hides files, jobs and results from another workspace', async () => {
    const [url, otherUrl] = site.fleet.listCallerUrls() as [string, string];
    const {id} = await ownerCaller.submitJob(url, ITEMS);
    const job = await ownerCaller.waitForJob(url, id);
    const shown = await ownerCaller.send(url, `/v1/batches/${id}`);
    const {input_file_id: inputFile} = JSON.parse(shown.text) as {
      input_file_id: string;
    };
    const outputFile = job.output_file_id!;
    const attempts: Array<[string, string]> = [
      ['GET', `/v1/batches/${id}`],
      ['POST', `/v1/batches/${id}/cancel`],
    ];
    for (const file of [inputFile, outputFile]) {
      attempts.push(['GET', `/v1/files/${file}`]);
      attempts.push(['GET', `/v1/files/${file}/content`]);
      attempts.push(['DELETE', `/v1/files/${file}`]);
    }
    for (const [method, path] of attempts) {
      for (const host of [url, otherUrl]) {
        const answer = await otherCaller.send(host, path, {method});
        expect(answer.status, `${method} ${path}`).to.equal(404);
        for (const prompt of ITEMS.keys()) {
          expect(answer.text).not.to.include(prompt);
        }
      }
    }
    const submitted = await otherCaller.send(url, '/v1/batches', {
      method: 'POST',
      body: JSON.stringify({
        input_file_id: inputFile,
        endpoint: '/v1/chat/completions',
        completion_window: '24h',
      }),
    });
    expect(
      submitted.status,
      'job with the input file of another workspace',
    ).to.equal(404);
    for (const path of ['/v1/files', '/v1/batches']) {
      const list = await otherCaller.send(otherUrl, path);
      expect(list.status).to.equal(200);
      for (const hidden of [id, inputFile, outputFile]) {
        expect(list.text, path).not.to.include(hidden);
      }
    }
    // The owner can still read its files: the other workspace deleted none of them.
    for (const host of [url, otherUrl]) {
      expect(await ownerCaller.readLines(host, outputFile)).to.have.length(
        ITEMS.size,
      );
    }
  });

  it('separates equal idempotency keys of two workspaces for batch jobs', async () => {
    const url = site.fleet.listCallerUrls()[0]!;
    const first = await ownerCaller.submitJob(url, ITEMS, 'same-key');
    const second = await otherCaller.submitJob(url, ITEMS, 'same-key');
    expect(second.id).not.to.equal(first.id);
  });

  it('separates equal idempotency keys of two workspaces for service calls', async () => {
    const url = site.fleet.listCallerUrls()[0]!;
    for (const caller of [ownerCaller, otherCaller]) {
      const answer = await caller.send(url, '/ledger/invoices', {
        method: 'POST',
        headers: {'idempotency-key': 'same-key'},
        body: JSON.stringify({callId: 'same-call'}),
      });
      expect(answer.status).to.equal(200);
    }
    expect(await countRuns('same-call')).to.equal(2);
  });

  it('runs no request without a valid key', async () => {
    for (const url of site.fleet.listCallerUrls()) {
      for (const [method, path] of KEYED_PATHS) {
        for (const headers of HEADERS_WITHOUT_VALID_KEY) {
          const answer = await fetch(`${url}${path}`, {
            method,
            headers: {'content-type': 'application/json', ...headers},
            body: method === 'POST' ? JSON.stringify({callId: 'no-key'}) : null,
          });
          expect(answer.status, `${method} ${path}`).to.equal(401);
          await answer.text();
        }
      }
    }
    expect(await countRuns('no-key')).to.equal(0);
  });

  it('requires no key on an open route', async () => {
    for (const url of site.fleet.listCallerUrls()) {
      for (const headers of HEADERS_WITHOUT_VALID_KEY) {
        const answer = await fetch(`${url}/ledger/hours`, {headers});
        expect(answer.status).to.equal(200);
        await answer.text();
      }
    }
  });
});
