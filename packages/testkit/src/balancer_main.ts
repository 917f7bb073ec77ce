/** Main program of the load balancer stand-in. */
import {SystemClock} from '@savoryspur/common';
import type {BalancerTarget} from '@savoryspur/schema';
import {cac} from 'cac';
import {BalancerStandIn} from './balancer/balancer_stand_in.js';
import {LOOPBACK} from './http_stand_in.js';
import {runStandIn} from './stand_in.js';

/**
 * Parses a list of daemons on loopback in the form
 * `callerPort:opsPort,callerPort:opsPort`.
 */
function parseDaemons(text: string): BalancerTarget[] {
  const entries = text.split(',').filter((entry) => entry !== '');
  return entries.map((entry) => {
    const [callerPort, opsPort] = entry.split(':').map(Number);
    return {
      address: LOOPBACK,
      callerPort: callerPort ?? 0,
      opsPort: opsPort ?? 0,
    };
  });
}

const cli = cac('balancer_main');
cli.option('--port <port>', 'Port to listen on; 0 lets the system choose', {
  default: 0,
});
cli.option('--daemons <list>', 'Daemons on loopback: callerPort:opsPort,…', {
  default: '',
});
cli.option('--check-ms <ms>', 'Period of readiness checks, ms', {default: 200});
cli.help();
const {options} = cli.parse();

if (!options.help) {
  const balancer = new BalancerStandIn(
    parseDaemons(String(options.daemons)),
    Number(options.checkMs),
    new SystemClock(),
  );
  await runStandIn(() => balancer.start(Number(options.port)));
}
