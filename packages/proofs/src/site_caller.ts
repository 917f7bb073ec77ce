/** A caller of a test site, over the OpenAI-compatible API. */
import {request} from 'undici';
import {SITE_MODEL, type SiteWorkspace} from './site.js';

/** Complete answer to one call. */
export interface CallAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

/** State of a batch job as the API returns it. */
export interface JobState {
  id: string;
  status: string;
  output_file_id: string | null;
  error_file_id: string | null;
  request_counts: {total: number; completed: number; failed: number};
}

/** Options of one call. */
export interface CallOptions {
  method?: string;
  body?: string | Buffer;
  headers?: Record<string, string>;
}

/** Interval at which the state of a job is polled, milliseconds. */
const JOB_POLL_INTERVAL_MS = 100;

/** Calls daemons with the key of one workspace. */
export class SiteCaller {
  /**
   * @param workspace - workspace whose key the calls present
   */
  constructor(readonly workspace: SiteWorkspace) {}

  /** Sends one call and reads its answer to the end. */
  async send(
    baseUrl: string,
    path: string,
    options: CallOptions = {},
  ): Promise<CallAnswer> {
    const answer = await request(`${baseUrl}${path}`, {
      method: (options.method ?? 'GET') as 'GET',
      headers: {
        authorization: `Bearer ${this.workspace.secret}`,
        'content-type': 'application/json',
        ...options.headers,
      },
      body: options.body,
    });
    return {
      status: answer.statusCode,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  /** Sends one non-streamed chat request to the model of the site. */
  sendChat(baseUrl: string, prompt: string): Promise<CallAnswer> {
    const messages = [{role: 'user', content: prompt}];
    return this.send(baseUrl, '/v1/chat/completions', {
      method: 'POST',
      body: JSON.stringify({model: SITE_MODEL, messages}),
    });
  }

  /**
   * Uploads an input file and submits it as a batch job.
   *
   * @param baseUrl - base URL of a daemon
   * @param prompts - prompt of each item by its custom id
   * @param idempotencyKey - key under which a repeated submission is recognized
   * @param maxTokens - maximum number of tokens in the answer to each item
   */
  async submitJob(
    baseUrl: string,
    prompts: ReadonlyMap<string, string>,
    idempotencyKey?: string,
    maxTokens?: number,
  ): Promise<JobState> {
    const fileId = await this.postFile(baseUrl, prompts, maxTokens);
    const answer = await this.send(baseUrl, '/v1/batches', {
      method: 'POST',
      headers: idempotencyKey ? {'idempotency-key': idempotencyKey} : {},
      body: JSON.stringify({
        input_file_id: fileId,
        endpoint: '/v1/chat/completions',
        completion_window: '24h',
      }),
    });
    return parseAnswer<JobState>(answer);
  }

  /** Reads the state of a batch job. */
  async showJob(baseUrl: string, jobId: string): Promise<JobState> {
    return parseAnswer(await this.send(baseUrl, `/v1/batches/${jobId}`));
  }

  /** Polls a batch job until it is no longer in progress. */
  async waitForJob(baseUrl: string, jobId: string): Promise<JobState> {
    for (;;) {
      const job = await this.showJob(baseUrl, jobId);
      if (job.status !== 'in_progress') return job;
      await new Promise((resolve) => setTimeout(resolve, JOB_POLL_INTERVAL_MS));
    }
  }

  /** Reads the lines of a file; returns none when there is no file id. */
  async readLines(baseUrl: string, fileId: string | null): Promise<string[]> {
    if (fileId === null) return [];
    const answer = await this.send(baseUrl, `/v1/files/${fileId}/content`);
    if (answer.status !== 200) throw new Error(answer.text);
    return answer.text.split('\n').filter((line) => line !== '');
  }

  private async postFile(
    baseUrl: string,
    prompts: ReadonlyMap<string, string>,
    maxTokens?: number,
  ): Promise<string> {
    const lines: string[] = [];
    for (const [id, prompt] of prompts) {
      lines.push(formatItem(id, prompt, maxTokens));
    }
    const form = new FormData();
    form.set('purpose', 'batch');
    form.set('file', new Blob([`${lines.join('\n')}\n`]), 'items.jsonl');
    const answer = await fetch(`${baseUrl}/v1/files`, {
      method: 'POST',
      headers: {authorization: `Bearer ${this.workspace.secret}`},
      body: form,
    });
    const text = await answer.text();
    if (answer.status !== 200) throw new Error(text);
    return (JSON.parse(text) as {id: string}).id;
  }
}

function formatItem(id: string, prompt: string, maxTokens?: number): string {
  const messages = [{role: 'user', content: prompt}];
  return JSON.stringify({
    custom_id: id,
    method: 'POST',
    url: '/v1/chat/completions',
    body: {model: SITE_MODEL, messages, max_tokens: maxTokens},
  });
}

function parseAnswer<T>(answer: CallAnswer): T {
  if (answer.status !== 200) {
    throw new Error(`status ${answer.status}: ${answer.text}`);
  }
  return JSON.parse(answer.text) as T;
}
