/** Storage calls for each 1,000 batch items, by size of the chunks. */
import {execFile} from 'node:child_process';
import path from 'node:path';
import {promisify} from 'node:util';
import type {SlopeSection} from './slope_section.js';

/** Measurement script of the batch package, which runs in virtual time. */
const MEASUREMENT_SCRIPT = path.resolve(
  import.meta.dirname,
  '../../../batch/dist/tests/measure_costs.js',
);

/** Runs the measurement script of the batch package and returns its output. */
export async function measureBatch(): Promise<SlopeSection> {
  const {stdout} = await promisify(execFile)(process.execPath, [
    MEASUREMENT_SCRIPT,
  ]);
  return {name: 'batch', rows: [], lines: {}, output: stdout};
}
