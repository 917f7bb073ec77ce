/** Main program of the stand-in for a plain (non-engine) service. */
import {SystemClock} from '@savoryspur/common';
import {cac} from 'cac';
import {ServiceStandIn} from './service/service_stand_in.js';
import {runStandIn} from './stand_in.js';

const cli = cac('service_main');
cli.option('--port <port>', 'Port to listen on; 0 lets the system choose', {
  default: 0,
});
cli.option('--name <name>', 'Service name in answers', {default: 'service'});
cli.option('--seed <seed>', 'Seed of random faults', {default: 1});
cli.option(
  '--call-field <name>',
  'Body or query field that holds the call id',
  {
    default: 'callId',
  },
);
cli.help();
const {options} = cli.parse();

if (!options.help) {
  const service = new ServiceStandIn(
    {
      name: String(options.name),
      seed: Number(options.seed),
      callField: String(options.callField),
    },
    new SystemClock(),
  );
  await runStandIn(() => service.start(Number(options.port)));
}
