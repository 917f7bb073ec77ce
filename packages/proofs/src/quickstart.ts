/**
 * The quickstart: starts a test site, runs online requests and a batch job on
 * it, and prints the results.
 */
import {buildPrompt, computeAnswer, OPERATOR_TOKEN} from '@savoryspur/testkit';
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import {Site, SITE_MODEL, SITE_WORKSPACES} from './site.js';
import {type JobState, SiteCaller} from './site_caller.js';

/** Options of the quickstart. */
export interface QuickstartOptions {
  /** Whether the site keeps running until SIGINT or SIGTERM. */
  isKept: boolean;
}

/** Number of online requests to send. */
const ONLINE_REQUESTS = 60;

/** Number of items in the batch job. */
const BATCH_ITEMS = 120;

/** Length to which a printed result line is cut, characters. */
const MAX_RESULT_LINE_CHARS = 160;

const CLI_PATH = path.resolve(
  import.meta.dirname,
  '../../../cli/bin/savoryspur.js',
);

/** Runs the quickstart; stops all processes afterwards, also after a failure. */
export async function runQuickstart(options: QuickstartOptions): Promise<void> {
  console.log('starting 2 zones x 2 daemons, 4 engines, 2 services, platform');
  const site = await Site.start({
    zones: ['langley', 'abbotsford'],
    hostsPerZone: 2,
    enginesPerZone: 2,
    servicesPerZone: 1,
  });
  try {
    await runRequests(site);
    showBurnReport(site);
    if (options.isKept) await keepUntilInterrupt(site);
  } finally {
    await site.stop();
  }
  console.log('stopped');
}

async function runRequests(site: Site): Promise<void> {
  const urls = site.fleet.listCallerUrls();
  const [hospital, kitchen] = SITE_WORKSPACES;
  const batchCaller = new SiteCaller(hospital!);
  const prompts = new Map<string, string>();
  for (let index = 0; index < BATCH_ITEMS; index++) {
    prompts.set(`lot-${index}`, `Condition report on hospital lot ${index}`);
  }
  const submitted = await batchCaller.submitJob(urls[0]!, prompts, 'lots-1');
  console.log(`job ${submitted.id} accepted: ${BATCH_ITEMS} items`);
  const correctAnswers = await runOnline(urls, new SiteCaller(kitchen!));
  console.log(
    `online: ${correctAnswers} of ${ONLINE_REQUESTS} answers correct`,
  );
  await requestInvoice(urls[1]!, new SiteCaller(kitchen!));
  const job = await batchCaller.waitForJob(urls[1]!, submitted.id);
  await showJob(urls[1]!, batchCaller, job);
  if (
    correctAnswers !== ONLINE_REQUESTS ||
    job.request_counts.completed !== BATCH_ITEMS
  ) {
    process.exitCode = 1;
  }
}

async function runOnline(urls: string[], caller: SiteCaller): Promise<number> {
  const answers = await Promise.all(
    Array.from({length: ONLINE_REQUESTS}, async (unused, index) => {
      const prompt = `Which grade for fork ${index}?`;
      const answer = await caller.sendChat(urls[index % urls.length]!, prompt);
      const messages = [{role: 'user', content: prompt}];
      return answer.text.includes(computeAnswer(buildPrompt({messages})));
    }),
  );
  return answers.filter((isCorrect) => isCorrect).length;
}

async function requestInvoice(url: string, caller: SiteCaller): Promise<void> {
  const options = {
    method: 'POST',
    headers: {'idempotency-key': 'invoice-1'},
    body: JSON.stringify({callId: 'invoice-1'}),
  };
  const first = await caller.send(url, '/ledger/invoices', options);
  const second = await caller.send(url, '/ledger/invoices', options);
  const isSame = first.text === second.text;
  console.log(`invoice: ${first.status}, resend gives the same: ${isSame}`);
}

async function showJob(
  url: string,
  caller: SiteCaller,
  job: JobState,
): Promise<void> {
  const {total, completed, failed} = job.request_counts;
  console.log(`job ${job.status}: ${completed} of ${total}, ${failed} failed`);
  const lines = await caller.readLines(url, job.output_file_id);
  console.log(`results: ${lines.length} lines, the first:`);
  console.log(`  ${(lines[0] ?? '').slice(0, MAX_RESULT_LINE_CHARS)}`);
}

/** Prints the error-budget burn report with the operators' command line. */
function showBurnReport(site: Site): void {
  const args = [CLI_PATH, 'report', 'burn'];
  const run = spawnSync(process.execPath, args, {
    stdio: 'inherit',
    env: {
      ...process.env,
      SAVORYSPUR_URL: site.fleet.listCallerUrls()[0],
      SAVORYSPUR_TOKEN: OPERATOR_TOKEN,
    },
  });
  if (run.status !== 0) process.exitCode = 1;
}

async function keepUntilInterrupt(site: Site): Promise<void> {
  const url = site.fleet.listCallerUrls()[0];
  const {secret} = SITE_WORKSPACES[0]!;
  const body = JSON.stringify({
    model: SITE_MODEL,
    stream: true,
    messages: [{role: 'user', content: 'Condition of lot 17?'}],
  });
  console.log(`curl -N ${url}/v1/chat/completions \\
  -H 'authorization: Bearer ${secret}' -H 'content-type: application/json' \\
  -d '${body}'`);
  console.log(`curl ${url}/v1/models -H 'authorization: Bearer ${secret}'`);
  console.log(`curl ${site.fleet.daemons[0]!.opsUrl}/status`);
  console.log(
    `SAVORYSPUR_URL=${url} SAVORYSPUR_TOKEN=${OPERATOR_TOKEN} npx savoryspur status`,
  );
  console.log('Ctrl-C stops everything');
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}
