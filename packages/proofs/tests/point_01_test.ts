import {
  type JobState,
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  SiteCaller,
  sleepMs,
  waitUntil,
} from '@savoryspur/proofs';
import {listViolations, OutcomeChecker} from '@savoryspur/testkit';
import {expect} from 'chai';

/** Number of items in the batch job. */
const ITEMS = 300;

/** Item that fails, as no engine can answer its prompt. */
const IMPOSSIBLE_ITEM = 'lot-13';

describe('point 1: an accepted item completes exactly once', () => {
  let site: Site;
  const caller = new SiteCaller(SITE_WORKSPACES[0]!);
  const checker = new OutcomeChecker();
  const prompts = new Map<string, string>();
  for (let index = 0; index < ITEMS; index++) {
    const id = `lot-${index}`;
    const prefix = id === IMPOSSIBLE_ITEM ? 'IMPOSSIBLE ' : '';
    prompts.set(id, `${prefix}Condition report on hospital lot ${index}`);
  }

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 1,
      servicesPerZone: 0,
      engineArgs: {warm: true, 'first-token-ms': 150},
      settings: SHORT_TIMEOUT_SETTINGS,
    });
  });

  after(() => site?.stop());

  /** Reads the output and error files of a job; returns the violations found in them. */
  async function readViolations(url: string, job: JobState): Promise<string[]> {
    const lines = [
      ...(await caller.readLines(url, job.output_file_id)),
      ...(await caller.readLines(url, job.error_file_id)),
    ];
    return listViolations(checker.check(job.id, lines.join('\n')));
  }

  /** Counts the items of a job with a result; returns 0 while the storage is unavailable. */
  async function countEndedItems(url: string, jobId: string): Promise<number> {
    try {
      const {request_counts: counts} = await caller.showJob(url, jobId);
      return counts.completed + counts.failed;
    } catch (thrown) {
      return 0;
    }
  }

  it('survives a kill, a process pause longer than the lease and a storage outage', async () => {
    const [first, second, third] = site.fleet.daemons;
    const url = site.fleet.listCallerUrls()[3]!;
    const {platform} = site.standIns;
    const submitted = await caller.submitJob(first!.callerUrl, prompts, 'lots');
    checker.add(
      submitted.id,
      [...prompts].map(([customId, prompt]) => ({
        customId,
        body: {
          model: SITE_MODEL,
          messages: [{role: 'user', content: prompt}],
        },
      })),
    );
    await first!.kill();
    const isRunning = async () =>
      (await countEndedItems(url, submitted.id)) > 0;
    expect(await waitUntil(isRunning, 30_000)).to.equal(true);
    second!.process.pause();
    await platform.setFaults({
      table: {lostReply: {next: 0, probability: 0.2}},
      objects: {lostReply: {next: 0, probability: 0.2}},
      seed: 1,
    });
    await sleepMs(4000);
    second!.process.resume();
    await third!.kill();
    await platform.setFaults({table: {down: true}, objects: {down: true}});
    await sleepMs(2000);
    await platform.setFaults({
      table: {down: false},
      objects: {down: false},
    });
    await third!.start();
    const ended = await caller.waitForJob(url, submitted.id);
    expect(ended.status).to.equal('completed');
    expect(ended.request_counts.completed).to.equal(ITEMS - 1);
    expect(ended.request_counts.failed).to.equal(1);
    expect(await readViolations(url, ended)).to.deep.equal([]);
    await sleepMs(1000);
    expect(await readViolations(url, ended)).to.deep.equal([]);
  });

  it('returns the first job for a job that is submitted again', async () => {
    const url = site.fleet.listCallerUrls()[3]!;
    const itemCount = 3;
    const somePrompts = new Map([...prompts].slice(0, itemCount));
    const jobIds: string[] = [];
    const first = await caller.submitJob(url, somePrompts, 'resend');
    jobIds.push(first.id);
    const again = await caller.submitJob(url, somePrompts, 'resend');
    jobIds.push(again.id);
    expect(new Set(jobIds).size).to.equal(1);
  });
});
