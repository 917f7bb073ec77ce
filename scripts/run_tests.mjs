// Runs the mocha tests of all packages, or of those named on the command line,
// and passes over just the tests that KNOWN-RED.txt lists.
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '..');
const ADAPTER = 'platform';
const KNOWN_RED = path.join(ROOT, 'KNOWN-RED.txt');

/** Reads the titles of the listed tests: lines that start with `test:`. */
function readKnownRed() {
  if (!fs.existsSync(KNOWN_RED)) return [];
  const lines = fs.readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines
    .filter((line) => line.startsWith('test:'))
    .map((line) => line.slice('test:'.length).trim());
}

/** Finds the folder of a package; the adapter stands beside the others. */
function findPackage(name) {
  const folder = name === ADAPTER ? name : path.join('packages', name);
  return path.join(ROOT, folder);
}

/** Lists the compiled test files of one package. */
function listTestFiles(name) {
  const dir = path.join(findPackage(name), 'dist/tests');
  if (!fs.existsSync(dir)) return [];
  const sources = new Set(
    fs
      .readdirSync(path.join(findPackage(name), 'tests'))
      .map((f) => f.replace(/\.ts$/, '.js')),
  );
  return fs
    .readdirSync(dir)
    .filter((f) => f.endsWith('_test.js') && sources.has(f))
    .map((f) => path.join(dir, f));
}

/** Runs mocha over some files and gives its report. */
function runMocha(files) {
  const reportFile = path.join(
    fs.mkdtempSync('/tmp/savoryspur-test-'),
    'report.json',
  );
  const args = [
    'node_modules/mocha/bin/mocha.js',
    '--reporter',
    'json',
    '--reporter-option',
    `output=${reportFile}`,
    '--timeout',
    '120000',
    '--exit',
    ...files,
  ];
  return new Promise((resolve) => {
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    child.on('exit', (code) => {
      const report = fs.existsSync(reportFile)
        ? JSON.parse(fs.readFileSync(reportFile, 'utf8'))
        : undefined;
      resolve({code, report});
    });
  });
}

/** Counts over all packages. */
const totals = {passed: 0, failed: 0, skipped: 0};
const knownRed = new Set(readKnownRed());

/** Runs the tests of one package and prints what came of them. */
async function runPackage(name) {
  const files = listTestFiles(name);
  if (files.length === 0) return;
  const {code, report} = await runMocha(files);
  if (report === undefined) {
    console.log(`${name}: no report, exit code ${code}`);
    totals.failed += 1;
    return;
  }
  const red = report.failures.filter((test) => knownRed.has(test.fullTitle));
  const unexpected = report.failures.filter(
    (test) => !knownRed.has(test.fullTitle),
  );
  console.log(
    `${name}: ${report.passes.length} passed, ${unexpected.length} failed, ${red.length} known red, ${report.pending.length} pending, ${report.stats.duration} ms`,
  );
  for (const test of red) console.log(`  known red: ${test.fullTitle}`);
  for (const test of unexpected)
    console.log(
      `  failed: ${test.fullTitle}\n${test.err.stack ?? test.err.message}`,
    );
  totals.passed += report.passes.length;
  totals.failed += unexpected.length;
  totals.skipped += report.pending.length + red.length;
  if (code !== 0 && report.failures.length === 0) totals.failed += 1;
}

/** Runs packages one after the other. */
async function runLane(names) {
  for (const name of names) await runPackage(name);
}

const named = process.argv.slice(2);
const packages =
  named.length > 0
    ? named
    : [...fs.readdirSync(path.join(ROOT, 'packages')).sort(), ADAPTER];
// The proofs mostly wait, so they run beside the other packages.
await Promise.all([
  runLane(packages.filter((name) => name === 'proofs')),
  runLane(packages.filter((name) => name !== 'proofs')),
]);
const {passed, failed, skipped} = totals;
const isRed = failed > 0 || passed === 0;
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exit(isRed ? 1 : 0);
