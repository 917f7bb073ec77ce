/**
 * Child processes of a test. Each of them is killed by its process id at the
 * latest when the test process exits.
 */
import {type ChildProcess as NodeChildProcess, spawn} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import readline from 'node:readline';
import {type Clock, ErrorCode, SavoryspurError} from '@savoryspur/common';
import {type ReadyLine, validateReadyLine} from '@savoryspur/schema';
import {EXIT_WITH_PARENT_VARIABLE} from '../stand_in.js';

/** Script to run as a child process. */
export interface ChildProcessOptions {
  /** Name of the process in errors and log file names. */
  name: string;
  /** Path of the script. */
  script: string;
  args?: readonly string[];
  /** Environment variables that are added to those of this process. */
  env?: Record<string, string>;
}

/** Exit code or signal with which a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Timeout of the wait for the ready line, milliseconds. */
const READY_TIMEOUT_MS = 30_000;

/** Time from SIGTERM until a process that still runs is killed, milliseconds. */
const STOP_TIMEOUT_MS = 40_000;

/** Last characters of standard error that are kept. */
const MAX_STDERR_CHARACTERS = 65_536;

/** Offset of the exit code of a process that a signal ended. */
const SIGNAL_EXIT_BASE = 128;

/**
 * Environment variable with the folder to which the whole standard error of each
 * child process is written, in a file named after the process and its id.
 */
const LOG_DIR_VARIABLE = 'TESTKIT_LOG_DIR';

/** Signals that terminate this process, with their numbers. */
const TERMINATION_SIGNALS = {SIGINT: 2, SIGTERM: 15, SIGHUP: 1} as const;

const runningChildren = new Set<NodeChildProcess>();
let isExitHandlerRegistered = false;

/** Child process that prints a ready line when it has started. */
export class ChildProcess {
  /** Ready line that the process printed. */
  ready: ReadyLine = {ready: true};
  private stderrTail = '';
  private exitStatus: ProcessExit | undefined;
  private readonly exited: Promise<ProcessExit>;

  private constructor(
    private readonly options: ChildProcessOptions,
    private readonly child: NodeChildProcess,
  ) {
    runningChildren.add(child);
    child.stderr?.setEncoding('utf8');
    child.stderr?.on('data', (text: string) => {
      this.stderrTail = (this.stderrTail + text).slice(-MAX_STDERR_CHARACTERS);
    });
    child.stdin?.on('error', () => undefined);
    this.openLogFile();
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        runningChildren.delete(child);
        this.exitStatus = {code, signal};
        resolve(this.exitStatus);
      });
    });
  }

  /**
   * Starts a process and waits for its ready line.
   *
   * @param options - script, arguments and environment
   * @param clock - clock of the timeout
   * @throws SavoryspurError when the process ends or the timeout passes before the
   *     ready line
   */
  static async start(
    options: ChildProcessOptions,
    clock: Clock,
  ): Promise<ChildProcess> {
    registerExitHandler();
    const nodeChild = spawn(
      process.execPath,
      [options.script, ...(options.args ?? [])],
      {
        stdio: 'pipe',
        env: {...process.env, [EXIT_WITH_PARENT_VARIABLE]: '1', ...options.env},
      },
    );
    const child = new ChildProcess(options, nodeChild);
    await child.waitReady(clock);
    return child;
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid!;
  }

  /** Last part of what the process wrote to standard error. */
  get errorOutput(): string {
    return this.stderrTail;
  }

  /** Tells whether the process still runs. */
  isRunning(): boolean {
    return this.exitStatus === undefined;
  }

  /** Waits until the process has ended. */
  waitExit(): Promise<ProcessExit> {
    return this.exited;
  }

  /**
   * Resumes the process if it is paused and stops it with SIGTERM; kills it with
   * SIGKILL when it does not end in time.
   *
   * @param clock - clock of the timeout
   * @returns exit code or signal of the process
   */
  async stop(clock: Clock): Promise<ProcessExit> {
    this.resume();
    this.child.kill('SIGTERM');
    const done = new AbortController();
    const timeout = clock.sleep(STOP_TIMEOUT_MS, done.signal);
    await Promise.race([this.exited, timeout]);
    done.abort();
    return this.kill();
  }

  /** Kills the process with SIGKILL and waits until it has ended. */
  async kill(): Promise<ProcessExit> {
    if (this.isRunning()) this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Pauses the process with SIGSTOP. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  /** Resumes the process with SIGCONT. */
  resume(): void {
    this.child.kill('SIGCONT');
  }

  private openLogFile(): void {
    const dir = process.env[LOG_DIR_VARIABLE];
    if (dir === undefined) return;
    const file = path.join(dir, `${this.options.name}-${this.pid}.log`);
    this.child.stderr?.pipe(fs.createWriteStream(file));
  }

  private async waitReady(clock: Clock): Promise<void> {
    const done = new AbortController();
    const timeout = clock
      .sleep(READY_TIMEOUT_MS, done.signal)
      .then(() => undefined);
    const exitedBeforeReady = this.exited.then(() => undefined);
    const ready = await Promise.race([
      this.readReady(),
      exitedBeforeReady,
      timeout,
    ]);
    done.abort();
    if (ready !== undefined) {
      this.ready = ready;
      return;
    }
    const {code, signal} = await this.kill();
    throw new SavoryspurError(
      ErrorCode.UNAVAILABLE,
      {step: 'testkit.start', peer: this.options.name},
      `not ready (code ${code}, signal ${signal}): ${this.stderrTail}`,
    );
  }

  private async readReady(): Promise<ReadyLine> {
    const lines = readline.createInterface({input: this.child.stdout!});
    const ready = await new Promise<ReadyLine>((resolve) => {
      lines.on('line', (line) => {
        const parsed = parseReadyLine(line);
        if (parsed !== undefined) resolve(parsed);
      });
    });
    return ready;
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    return validateReadyLine(JSON.parse(line)).unwrapOr(undefined);
  } catch {
    return undefined;
  }
}

/**
 * Registers once that all child processes are killed when this process exits or
 * gets a termination signal. A SIGKILL of this process cannot be handled; for
 * that case stand-ins exit when their standard input ends.
 */
function registerExitHandler(): void {
  if (isExitHandlerRegistered) return;
  isExitHandlerRegistered = true;
  process.on('exit', killChildren);
  for (const [signal, number] of Object.entries(TERMINATION_SIGNALS)) {
    process.on(signal, () => process.exit(SIGNAL_EXIT_BASE + number));
  }
}

function killChildren(): void {
  for (const child of runningChildren) child.kill('SIGKILL');
}
