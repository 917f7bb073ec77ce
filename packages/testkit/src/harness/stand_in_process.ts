/** Stand-ins that run as processes. */
import path from 'node:path';
import type {Clock} from '@savoryspur/common';
import {LOOPBACK} from '../http_stand_in.js';
import {ChildProcess} from './child_process.js';
import {ControlClient} from './control_client.js';

/** Folder of the compiled main programs. */
const SCRIPT_DIR = path.resolve(import.meta.dirname, '..');

/** Command-line options of a main program by name, without leading dashes. */
export type StandInArgs = Record<string, string | number | boolean>;

/** Stand-in that runs as a process. */
export class StandInProcess {
  /** Base URL of the stand-in. */
  readonly url: string;
  /** Port of the stand-in. */
  readonly port: number;
  protected readonly control: ControlClient;

  /**
   * @param process - process that has printed its ready line
   * @param clock - clock of the timeouts
   */
  constructor(
    readonly process: ChildProcess,
    protected readonly clock: Clock,
  ) {
    this.port = process.ready.port ?? 0;
    this.url = `http://${LOOPBACK}:${this.port}`;
    const controlPort = process.ready.controlPort ?? this.port;
    this.control = new ControlClient(`http://${LOOPBACK}:${controlPort}`);
  }

  /** Stops the process. */
  async stop(): Promise<void> {
    await this.process.stop(this.clock);
  }
}

/** Constructor of one kind of stand-in process. */
export type StandInClass<T extends StandInProcess> = new (
  process: ChildProcess,
  clock: Clock,
) => T;

/**
 * Starts a stand-in.
 *
 * @param standInClass - kind of stand-in
 * @param script - name of the main program, such as `engine_main`
 * @param args - options of the main program
 * @param clock - clock of the timeouts
 */
export async function startStandIn<T extends StandInProcess>(
  standInClass: StandInClass<T>,
  script: string,
  args: StandInArgs,
  clock: Clock,
): Promise<T> {
  const process = await ChildProcess.start(
    {
      name: script,
      script: path.join(SCRIPT_DIR, `${script}.js`),
      args: formatArgs(args),
    },
    clock,
  );
  return new standInClass(process, clock);
}

function formatArgs(args: StandInArgs): string[] {
  const formatted: string[] = [];
  for (const [name, value] of Object.entries(args)) {
    if (value === false) continue;
    formatted.push(value === true ? `--${name}` : `--${name}=${value}`);
  }
  return formatted;
}
