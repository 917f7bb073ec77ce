// Runs the mocha tests of all packages, or of those named on the command line.
// Failures of the tests that KNOWN-RED.txt lists are printed, but don't fail the run.
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';

const ROOT = path.resolve(import.meta.dirname, '..');
/** Package outside of the folder `packages`: the users' platform adapter. */
const PLATFORM_PACKAGE = 'platform';
/** Number of processes that run files of one package at the same time; the fleets of a file take part of a core each. */
const CONCURRENT_GROUPS = Math.max(1, Math.ceil(os.availableParallelism() / 3));
/** Names of test files that measure the memory of a process: they run one at a time, after all others. */
const ISOLATED_FILES = /^hostile_/;
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');

/** Reads the full titles of known failing tests from the lines that start with `test:`. */
function readKnownRedTitles() {
  if (!fs.existsSync(KNOWN_RED_FILE)) return [];
  const lines = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return lines
    .filter((line) => line.startsWith('test:'))
    .map((line) => line.slice('test:'.length).trim());
}

function getPackageDir(name) {
  const folder = name === PLATFORM_PACKAGE ? name : path.join('packages', name);
  return path.join(ROOT, folder);
}

/** Lists the compiled test files of one package, except those whose source was deleted. */
function listTestFiles(name) {
  const dir = path.join(getPackageDir(name), 'dist/tests');
  if (!fs.existsSync(dir)) return [];
  const sources = new Set(
    fs
      .readdirSync(path.join(getPackageDir(name), 'tests'))
      .map((f) => f.replace(/\.ts$/, '.js')),
  );
  return fs
    .readdirSync(dir)
    .filter((f) => f.endsWith('_test.js') && sources.has(f))
    .map((f) => path.join(dir, f));
}

/** Runs mocha on some files; resolves with its exit code and JSON report. */
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

/** Numbers of tests over all packages; known failures count as skipped. */
const totals = {passed: 0, failed: 0, skipped: 0};
const knownRedTitles = new Set(readKnownRedTitles());

/** Runs each group of files in a process of its own, some at the same time; resolves with the runs. */
async function runGroups(groups) {
  const waiting = [...groups];
  const runs = [];
  const runNext = async () => {
    for (let files = waiting.shift(); files; files = waiting.shift()) {
      runs.push({files, ...(await runMocha(files))});
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_GROUPS}, runNext));
  return runs;
}

/** Runs the tests of one package and prints the result. */
async function runPackage(name) {
  const files = listTestFiles(name);
  if (files.length === 0) return;
  const startMs = performance.now();
  const isIsolated = (file) => ISOLATED_FILES.test(path.basename(file));
  const shared = files.filter((file) => !isIsolated(file));
  const runs = await runGroups(
    name === PLATFORM_PACKAGE ? shared.map((file) => [file]) : [shared],
  );
  for (const file of files.filter(isIsolated)) {
    runs.push({files: [file], ...(await runMocha([file]))});
  }
  const counts = {passed: 0, pending: 0};
  const failures = [];
  for (const {files, code, report} of runs) {
    if (report === undefined || (code !== 0 && report.failures.length === 0)) {
      console.log(`${name}: exit code ${code}, no failure in the report of`);
      for (const file of files) console.log(`  ${path.relative(ROOT, file)}`);
      totals.failed += 1;
    }
    counts.passed += report?.passes.length ?? 0;
    counts.pending += report?.pending.length ?? 0;
    failures.push(...(report?.failures ?? []));
  }
  const knownFailures = failures.filter((test) =>
    knownRedTitles.has(test.fullTitle),
  );
  const unexpectedFailures = failures.filter(
    (test) => !knownRedTitles.has(test.fullTitle),
  );
  const durationMs = Math.round(performance.now() - startMs);
  console.log(
    `${name}: ${counts.passed} passed, ${unexpectedFailures.length} failed, ${knownFailures.length} known red, ${counts.pending} pending, ${durationMs} ms`,
  );
  for (const test of knownFailures)
    console.log(`  known red: ${test.fullTitle}`);
  for (const test of unexpectedFailures)
    console.log(
      `  failed: ${test.fullTitle}\n${test.err.stack ?? test.err.message}`,
    );
  totals.passed += counts.passed;
  totals.failed += unexpectedFailures.length;
  totals.skipped += counts.pending + knownFailures.length;
}

/** Runs the tests of packages one after the other. */
async function runPackages(names) {
  for (const name of names) await runPackage(name);
}

const requestedPackages = process.argv.slice(2);
const packages =
  requestedPackages.length > 0
    ? requestedPackages
    : [...fs.readdirSync(path.join(ROOT, 'packages')).sort(), PLATFORM_PACKAGE];
// The tests of proofs spend most of their time waiting, so they run in parallel with the other packages.
await Promise.all([
  runPackages(packages.filter((name) => name === 'proofs')),
  runPackages(packages.filter((name) => name !== 'proofs')),
]);
const {passed, failed, skipped} = totals;
const hasFailed = failed > 0 || passed === 0;
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exit(hasFailed ? 1 : 0);
