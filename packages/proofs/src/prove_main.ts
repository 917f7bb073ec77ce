/** Runs the tests of one guarantee of docs/PROMISES.md: `npm run prove -- N`. */
import {cac} from 'cac';
import {spawn} from 'node:child_process';
import path from 'node:path';
import {PROMISE_PROOFS, type PromiseProof} from './promise_table.js';

/** Exit code for invalid command-line arguments. */
const EXIT_USAGE = 2;

/** Exit code for a guarantee that no test verifies. */
const EXIT_NOT_PROVED = 4;

/** Timeout of one test, milliseconds. */
const TEST_TIMEOUT_MS = 300_000;

const PACKAGES_DIR = path.resolve(import.meta.dirname, '../../..');

/** Resolves `package/name` to the path of the compiled test file. */
function resolveTestFile(file: string): string {
  const [name = '', stem = ''] = file.split('/');
  return path.join(PACKAGES_DIR, name, 'dist/tests', `${stem}.js`);
}

/** Runs mocha on the test files of a guarantee; returns its exit code. */
function runProof(proof: PromiseProof): Promise<number> {
  const mocha = path.join(PACKAGES_DIR, '../node_modules/mocha/bin/mocha.js');
  const files = proof.files.map(resolveTestFile);
  const args = [mocha, '--timeout', String(TEST_TIMEOUT_MS), '--exit'];
  const child = spawn(process.execPath, [...args, ...files], {
    stdio: 'inherit',
  });
  return new Promise((resolve) => {
    child.once('exit', (code) => resolve(code ?? 1));
  });
}

/** Prints every guarantee with its test files. */
function listProofs(): void {
  for (const proof of PROMISE_PROOFS) {
    const testFiles = proof.files.join(', ') || 'not proved';
    console.log(`${proof.point}. ${proof.title}: ${testFiles}`);
  }
}

/** Parses the command line and runs the tests; returns the exit code. */
async function main(): Promise<number> {
  const cli = cac('prove');
  cli.usage(
    'N, the number of a guarantee in docs/PROMISES.md; without N, all are listed',
  );
  cli.help();
  const {args, options} = cli.parse();
  if (options.help) return 0;
  const requestedPoint = args[0];
  if (requestedPoint === undefined) {
    listProofs();
    return 0;
  }
  const proof = PROMISE_PROOFS.find((p) => p.point === Number(requestedPoint));
  if (!proof) {
    console.error(
      `N: found ${requestedPoint}, expected 1 to ${PROMISE_PROOFS.length}`,
    );
    return EXIT_USAGE;
  }
  console.log(`${proof.point}. ${proof.title}`);
  if (proof.files.length === 0) {
    console.error('not proved');
    return EXIT_NOT_PROVED;
  }
  return runProof(proof);
}

process.exitCode = await main();
