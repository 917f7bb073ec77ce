/** Entry point of `savoryspurd`. */
import {DebugEventLog, DaemonEvent, SystemClock} from '@savoryspur/common';
import {formatFieldError} from '@savoryspur/schema';
import {cac} from 'cac';
import {Daemon} from './daemon.js';
import {readSettings} from './settings_file.js';

/** Exit codes of `savoryspurd`. */
export enum ExitCode {
  STOPPED = 0,
  INTERNAL_ERROR = 1,
  BAD_INPUT = 2,
  INTERRUPTED_REQUESTS = 3,
  PORT_IN_USE = 4,
}

const VERSION = '0.1.0';

/** Options of the command line. */
interface MainOptions {
  settings?: string;
  check?: boolean;
}

/**
 * Runs the daemon until SIGTERM or SIGINT and sets the exit code of the
 * process.
 *
 * @param argv - `process.argv`
 */
export async function main(argv: string[]): Promise<void> {
  const cli = cac('savoryspurd');
  cli
    .command('', 'Run the daemon of an entry host')
    .option('--settings <file>', 'Settings of this host (TOML)')
    .option('--check', 'Check the settings and exit')
    .action(async (options: MainOptions) => {
      process.exitCode = await run(options);
    });
  cli.help();
  cli.version(VERSION);
  try {
    cli.parse(argv, {run: false});
    await cli.runMatchedCommand();
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    console.error(`savoryspurd: ${message}`);
    process.exitCode = ExitCode.BAD_INPUT;
  }
}

async function run(options: MainOptions): Promise<ExitCode> {
  if (typeof options.settings !== 'string') {
    console.error('savoryspurd: --settings: found nothing, expected a file');
    return ExitCode.BAD_INPUT;
  }
  const settings = readSettings(options.settings);
  if (settings.isErr()) {
    console.error(`savoryspurd: ${formatFieldError(settings.error)}`);
    return ExitCode.BAD_INPUT;
  }
  if (options.check) return ExitCode.STOPPED;
  const clock = new SystemClock();
  const log = new DebugEventLog(settings.value.host.id, clock);
  const daemon = new Daemon({settings: settings.value, clock, log});
  try {
    const ports = await daemon.start();
    console.log(JSON.stringify({ready: true, ...ports}));
  } catch (thrown) {
    return reportStartFailure(thrown);
  }
  log.record(DaemonEvent.STARTED);
  const isClean = await waitForStop(daemon);
  log.record(DaemonEvent.STOPPED, {isClean});
  process.exit(isClean ? ExitCode.STOPPED : ExitCode.INTERRUPTED_REQUESTS);
}

/** Prints why the daemon could not start, and exits the process. */
function reportStartFailure(thrown: unknown): ExitCode {
  const error = thrown as NodeJS.ErrnoException & {port?: number};
  if (error.code === 'EADDRINUSE') {
    console.error(
      `savoryspurd: listen: found port ${error.port} in use, expected a free port`,
    );
    process.exit(ExitCode.PORT_IN_USE);
  }
  console.error(`savoryspurd: ${error.message}`);
  process.exit(ExitCode.INTERNAL_ERROR);
}

/**
 * Waits for SIGTERM or SIGINT and shuts the daemon down. A second signal exits
 * the process without waiting for the shutdown.
 *
 * @returns whether no request was interrupted
 */
function waitForStop(daemon: Daemon): Promise<boolean> {
  return new Promise((resolve) => {
    let isStopping = false;
    const handleSignal = (): void => {
      if (isStopping) process.exit(ExitCode.INTERRUPTED_REQUESTS);
      isStopping = true;
      daemon.stop().then(resolve, () => resolve(false));
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
  });
}
