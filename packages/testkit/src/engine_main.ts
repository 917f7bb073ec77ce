/** Main program of the model engine stand-in. */
import {SystemClock} from '@savoryspur/common';
import type {StandInModel} from '@savoryspur/schema';
import {cac} from 'cac';
import {EngineStandIn} from './engine/engine_stand_in.js';
import {runStandIn} from './stand_in.js';

/** Parses a list of models in the form `name:version,name:version`. */
function parseModels(text: string): StandInModel[] {
  const entries = text.split(',').filter((entry) => entry !== '');
  return entries.map((entry) => {
    const [name = '', version = ''] = entry.split(':');
    return {name, version};
  });
}

const cli = cac('engine_main');
cli.option('--port <port>', 'Port to listen on; 0 lets the system choose', {
  default: 0,
});
cli.option('--seed <seed>', 'Seed of faults and of lost cache events', {
  default: 1,
});
cli.option('--first-token-ms <ms>', 'Time to first token when idle, ms', {
  default: 20,
});
cli.option('--between-tokens-ms <ms>', 'Time between tokens when idle, ms', {
  default: 5,
});
cli.option(
  '--capacity <n>',
  'Other running requests at which token times double',
  {
    default: 16,
  },
);
cli.option(
  '--cold-capacity <n>',
  'Running requests that a cold engine survives',
  {default: 2},
);
cli.option('--cold-requests <n>', 'Completed requests that end the warm-up', {
  default: 8,
});
cli.option('--warm', 'Start warm');
cli.option('--cache-entries <n>', 'Prompt prefixes that the cache holds', {
  default: 64,
});
cli.option('--cache-lag-ms <ms>', 'Delay of published cache events, ms', {
  default: 500,
});
cli.option('--cache-gaps <p>', 'Probability that a cache event is lost', {
  default: 0.1,
});
cli.option('--load-lag-ms <ms>', 'Refresh period of the load report, ms', {
  default: 500,
});
cli.option('--keep-ms <ms>', 'Time for which ended streams are kept, ms', {
  default: 10_000,
});
cli.option('--restart-ms <ms>', 'Downtime after a crash, ms', {default: 200});
cli.option('--crash-marker <text>', 'Prompt text that crashes the engine', {
  default: 'CRASH',
});
cli.option('--fail-marker <text>', 'Prompt text that is answered with 500', {
  default: 'IMPOSSIBLE',
});
cli.option('--ignore-fencing', 'Apply orders with outdated fencing tokens');
cli.option('--weight-url <url>', 'Base URL of the weight store', {default: ''});
cli.option('--models <list>', 'Models at the start: name:version,…', {
  default: '',
});
cli.option('--role <role>', 'Role at the start', {default: 'mixed'});
cli.help();
const {options} = cli.parse();

if (!options.help) {
  const engine = new EngineStandIn(
    {
      seed: Number(options.seed),
      firstTokenMs: Number(options.firstTokenMs),
      betweenTokensMs: Number(options.betweenTokensMs),
      capacity: Number(options.capacity),
      coldCapacity: Number(options.coldCapacity),
      coldRequests: Number(options.coldRequests),
      isWarm: options.warm === true,
      cacheEntries: Number(options.cacheEntries),
      cacheLagMs: Number(options.cacheLagMs),
      cacheGapProbability: Number(options.cacheGaps),
      loadLagMs: Number(options.loadLagMs),
      keepMs: Number(options.keepMs),
      restartMs: Number(options.restartMs),
      crashMarker: String(options.crashMarker),
      failMarker: String(options.failMarker),
      checksFencing: options.ignoreFencing !== true,
      weightUrl: String(options.weightUrl),
      models: parseModels(String(options.models)),
      role: String(options.role),
    },
    new SystemClock(),
  );
  await runStandIn(() => engine.start(Number(options.port)));
}
