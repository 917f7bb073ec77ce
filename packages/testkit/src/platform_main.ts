/** Main program of the platform stand-in. */
import {SystemClock} from '@savoryspur/common';
import {cac} from 'cac';
import {PlatformStandIn} from './platform/platform_stand_in.js';
import {runStandIn} from './stand_in.js';

const cli = cac('platform_main');
cli.option('--port <port>', 'Port to listen on; 0 lets the system choose', {
  default: 0,
});
cli.option('--seed <seed>', 'Seed of random faults', {default: 1});
cli.option('--host-lag-ms <ms>', 'Delay of host list changes, ms', {
  default: 0,
});
cli.option(
  '--weights-per-second <rate>',
  'Weight reads per second; more are refused',
  {
    default: 10,
  },
);
cli.help();
const {options} = cli.parse();

if (!options.help) {
  const platform = new PlatformStandIn(
    {
      port: Number(options.port),
      seed: Number(options.seed),
      hostLagMs: Number(options.hostLagMs),
      weightsPerSecond: Number(options.weightsPerSecond),
    },
    new SystemClock(),
  );
  await runStandIn(() => platform.start());
}
