/**
 * Runs the system on one machine: `npm run quickstart`. Starts daemons in two
 * availability zones with stand-ins for the backend servers and the storage,
 * applies an environment document, runs online requests and a batch job of
 * hospital lot reports, and prints the results.
 */
import {cac} from 'cac';
import {runQuickstart} from './quickstart.js';

const cli = cac('quickstart');
cli.option(
  '--keep',
  'Keep everything running until Ctrl-C and print curl commands',
);
cli.help();
const {options} = cli.parse();
if (!options.help) {
  await runQuickstart({isKept: options.keep === true});
}
