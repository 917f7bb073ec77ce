/**
 * Measures the slopes of docs/CAPACITY.md, which are the costs of one more peer,
 * workspace, server or token: `npm run slopes`. Arguments select measurements by
 * name; then the result file is only written with `--write`, which replaces their
 * sections in it.
 */
import fs from 'node:fs/promises';
import path from 'node:path';
import {measureBatch} from './batch_slopes.js';
import {measureConfig} from './config_slopes.js';
import {measureDaemon} from './daemon_slopes.js';
import {measureForwarding} from './forwarding_slopes.js';
import {measureHeartbeats} from './heartbeat_slopes.js';
import {measureLimits} from './limits_slopes.js';
import {measureLimitsTransport} from './limits_transport_slopes.js';
import {measureReport} from './report_slopes.js';
import {measureRouting} from './routing_slopes.js';
import type {SlopeSection} from './slope_section.js';

const RESULT_FILE = path.resolve(
  import.meta.dirname,
  '../../../../docs/results/slopes.json',
);

/** Argument that has the selected measurements written to the result file. */
const WRITE_FLAG = '--write';

/** Content of the result file. */
interface SlopeResult {
  command: string;
  node: string;
  measuredAt: string;
  sections: SlopeSection[];
}

/** Measurements by name, in the order in which they run. */
const MEASUREMENTS: Record<string, () => Promise<SlopeSection>> = {
  report: measureReport,
  config: measureConfig,
  limits: measureLimits,
  limitsTransport: measureLimitsTransport,
  routing: measureRouting,
  heartbeats: measureHeartbeats,
  forwarding: measureForwarding,
  batch: measureBatch,
  daemon: measureDaemon,
};

function printSection(section: SlopeSection): void {
  process.stdout.write(`\n${section.name}\n`);
  for (const row of section.rows) {
    process.stdout.write(`  ${JSON.stringify(row)}\n`);
  }
  for (const [name, {slope, base}] of Object.entries(section.lines)) {
    process.stdout.write(`  ${name}: slope ${slope}, base ${base}\n`);
  }
  if (section.output) process.stdout.write(section.output);
}

async function main(): Promise<void> {
  const names = process.argv.slice(2).filter((name) => name !== WRITE_FLAG);
  const sections: SlopeSection[] = [];
  for (const [name, measure] of Object.entries(MEASUREMENTS)) {
    if (names.length > 0 && !names.includes(name)) continue;
    const section = await measure();
    printSection(section);
    sections.push(section);
  }
  if (names.length > 0) {
    if (process.argv.includes(WRITE_FLAG)) await replaceSections(sections);
    return;
  }
  const result: SlopeResult = {
    command: 'npm run slopes',
    node: process.version,
    measuredAt: new Date().toISOString(),
    sections,
  };
  await writeResult(result);
}

/** Replaces sections in the result file, or adds them. */
async function replaceSections(sections: SlopeSection[]): Promise<void> {
  const text = await fs.readFile(RESULT_FILE, 'utf8');
  const result = JSON.parse(text) as SlopeResult;
  const measuredAt = new Date().toISOString();
  for (const section of sections) {
    const index = result.sections.findIndex(({name}) => name === section.name);
    const place = index < 0 ? result.sections.length : index;
    result.sections[place] = {...section, measuredAt};
  }
  await writeResult(result);
}

async function writeResult(result: SlopeResult): Promise<void> {
  await fs.mkdir(path.dirname(RESULT_FILE), {recursive: true});
  await fs.writeFile(RESULT_FILE, `${JSON.stringify(result, null, 1)}\n`);
}

await main();
