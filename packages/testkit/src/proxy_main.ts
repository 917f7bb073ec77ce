/** Main program of the fault-injecting TCP proxy. */
import {SystemClock} from '@savoryspur/common';
import {cac} from 'cac';
import {LOOPBACK} from './http_stand_in.js';
import {ProxyStandIn} from './proxy/proxy_stand_in.js';
import {runStandIn} from './stand_in.js';

/** Name of the link that the command line defines. */
const FIRST_LINK_NAME = 'main';

const cli = cac('proxy_main');
cli.option(
  '--listen <port>',
  'Port of the first link; 0 lets the system choose',
  {default: 0},
);
cli.option(
  '--target <port>',
  'Loopback port to forward to; no first link when absent',
);
cli.option(
  '--control <port>',
  'Port of the control API; 0 lets the system choose',
  {default: 0},
);
cli.help();
const {options} = cli.parse();

if (!options.help) {
  const proxy = new ProxyStandIn(new SystemClock());
  const firstLink =
    options.target === undefined
      ? undefined
      : {
          name: FIRST_LINK_NAME,
          port: Number(options.listen),
          targetPort: Number(options.target),
          targetAddress: LOOPBACK,
        };
  await runStandIn(() => proxy.start(Number(options.control), firstLink));
}
