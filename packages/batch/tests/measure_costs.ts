/**
 * Measures storage calls per thousand items for several chunk sizes. The hosts
 * run items at the rate of a host in a fleet of the design size. Run it with
 * `node packages/batch/dist/tests/measure_costs.js`.
 */
import {submitItems} from './outcome_checker.js';
import {TEST_SETTINGS, TestFleet} from './test_fleet.js';

/** Number of hosts. */
const HOSTS = 6;

/** Number of jobs; each belongs to another workspace. */
const JOBS = 6;

/** Items per job: 62 million items a day in 29,000 jobs. */
const ITEMS_PER_JOB = 2138;

/** Maximum number of items in progress on a host. */
const CONCURRENCY = 64;

/** Items per second on one of 410 hosts, which run 62 million items a day. */
const ITEMS_PER_HOST_SECOND = 62e6 / 86_400 / 410;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Runs the jobs with a chunk size and prints one row of the table. */
async function measure(chunkItems: number): Promise<void> {
  const settings = {
    ...TEST_SETTINGS,
    chunkItems,
    concurrency: CONCURRENCY,
    maxItems: 500_000,
  };
  const fleet = new TestFleet(HOSTS, settings, {
    fleetChunkReadsPerSecond: (400 / 410) * HOSTS,
    fleetScansPerSecond: (100 / 410) * HOSTS,
    fleetRenewalsPerSecond: (300 / 410) * HOSTS,
  });
  fleet.itemMs = (CONCURRENCY / ITEMS_PER_HOST_SECOND) * MS_PER_SECOND;
  const jobs: string[] = [];
  for (let n = 0; n < JOBS; n++) {
    const {job} = await submitItems(fleet, ITEMS_PER_JOB, `workspace-${n}`);
    jobs.push(job.id);
  }
  const {counts} = fleet.storage;
  const before = {...counts};
  const startMs = fleet.clock.now();
  fleet.start();
  for (const id of jobs) {
    await fleet.clock.waitFor(
      () => fleet.getJobState(id) !== 'in_progress',
      86_400_000,
    );
  }
  const seconds = (fleet.clock.now() - startMs) / MS_PER_SECOND;
  const thousands = (JOBS * ITEMS_PER_JOB) / 1000;
  const perThousand = (key: keyof typeof counts) =>
    ((counts[key] - before[key]) / thousands).toFixed(1);
  const bytes = (counts.tableBytes - before.tableBytes) / seconds / HOSTS;
  const columns = [
    chunkItems,
    perThousand('transactions'),
    perThousand('rowWrites'),
    perThousand('reads'),
    perThousand('scans'),
    perThousand('rowsRead'),
    perThousand('puts'),
    perThousand('gets'),
    bytes.toFixed(0),
    ((JOBS * ITEMS_PER_JOB) / seconds / HOSTS).toFixed(2),
  ];
  console.log(`| ${columns.join(' | ')} |`);
  fleet.stop();
}

console.log(
  '| chunk | transactions | row writes | reads | scans | rows read | puts | gets | B/s a host | items/s a host |',
);
console.log('| --- '.repeat(10) + '|');
for (const chunkItems of [50, 100, 200, 500, 1000]) await measure(chunkItems);
