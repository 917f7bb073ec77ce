import {Site, SITE_MODEL, SITE_WORKSPACES} from '@savoryspur/proofs';
import {buildPrompt, computeAnswer} from '@savoryspur/testkit';
import {expect} from 'chai';
import OpenAI, {toFile} from 'openai';

describe('the serving path with an unmodified client library', () => {
  let site: Site;
  let client: OpenAI;

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 1,
      servicesPerZone: 1,
    });
    client = new OpenAI({
      baseURL: `${site.fleet.listCallerUrls()[0]}/v1`,
      apiKey: SITE_WORKSPACES[0]!.secret,
      maxRetries: 0,
    });
  });

  after(() => site?.stop());

  const messages = [{role: 'user' as const, content: 'Condition of lot 17?'}];

  it('completes a streamed chat', async () => {
    const stream = await client.chat.completions.create({
      model: SITE_MODEL,
      messages,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    expect(text).to.equal(computeAnswer(buildPrompt({messages})));
  });

  it('completes a non-streamed chat', async () => {
    const answer = await client.chat.completions.create({
      model: SITE_MODEL,
      messages,
    });
    const text = answer.choices[0]?.message.content;
    expect(text).to.equal(computeAnswer(buildPrompt({messages})));
  });

  it('lists the models', async () => {
    const models = await client.models.list();
    expect(models.data.map((model) => model.id)).to.deep.equal([SITE_MODEL]);
  });

  it('refuses an unknown key', async () => {
    const url = `${site.fleet.listCallerUrls()[1]}/v1/models`;
    const answer = await fetch(url, {headers: {authorization: 'Bearer no'}});
    expect(answer.status).to.equal(401);
  });

  it('calls a plain service', async () => {
    const url = `${site.fleet.listCallerUrls()[2]}/ledger/invoices`;
    const answer = await fetch(url, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${SITE_WORKSPACES[1]!.secret}`,
        'content-type': 'application/json',
        'idempotency-key': 'invoice-1',
      },
      body: JSON.stringify({callId: 'invoice-1'}),
    });
    expect(answer.status).to.equal(200);
  });

  it('completes a batch job', async () => {
    const lines = Array.from({length: 30}, (unused, index) =>
      JSON.stringify({
        custom_id: `lot-${index}`,
        method: 'POST',
        url: '/v1/chat/completions',
        body: {
          model: SITE_MODEL,
          messages: [{role: 'user', content: `Report on lot ${index}`}],
        },
      }),
    );
    const file = await client.files.create({
      purpose: 'batch',
      file: await toFile(Buffer.from(`${lines.join('\n')}\n`), 'lots.jsonl'),
    });
    let job = await client.batches.create({
      input_file_id: file.id,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    });
    while (job.status === 'in_progress') {
      await new Promise((resolve) => setTimeout(resolve, 200));
      job = await client.batches.retrieve(job.id);
    }
    expect(job.status).to.equal('completed');
    expect(job.request_counts?.completed).to.equal(lines.length);
    const content = await client.files.content(job.output_file_id!);
    const outcomes = (await content.text()).trim().split('\n');
    expect(outcomes).to.have.length(lines.length);
  });
});
