/** A daemon of a test fleet that runs as a process. */
import fs from 'node:fs/promises';
import path from 'node:path';
import {type Clock, ErrorCode, SavoryspurError} from '@savoryspur/common';
import {type ListedHost, ListedHostState} from '@savoryspur/schema';
import {stringify} from 'smol-toml';
import {request as sendRequest} from 'undici';
import {ChildProcess, type ProcessExit} from './child_process.js';
import {type DaemonSettings, describeHost} from './daemon_settings.js';

/** Timeout of the wait for readiness, milliseconds. */
const READY_TIMEOUT_MS = 30_000;

/** Delay between two readiness checks, milliseconds. */
const READY_CHECK_DELAY_MS = 50;

/** Timeout of one readiness check, milliseconds. */
const READY_CHECK_TIMEOUT_MS = 1000;

/** Launcher script of the daemon package. */
const DAEMON_SCRIPT = path.resolve(
  import.meta.dirname,
  '../../../../daemon/bin/savoryspurd.js',
);

/** Settings and launcher of a daemon process. */
export interface DaemonProcessOptions {
  settings: DaemonSettings;
  /** Folder to which the settings file is written. */
  dir: string;
  /** Launcher script; that of the daemon package when absent. */
  script?: string;
  /** Environment variables that are added to those of this process. */
  env?: Record<string, string>;
}

/** Daemon process that can be stopped, killed, paused and started again. */
export class DaemonProcess {
  /** Name of the host. */
  readonly host: string;
  /** Availability zone of the host. */
  readonly zone: string;
  private child: ChildProcess | undefined;

  /**
   * @param options - settings and launcher
   * @param clock - clock of the timeouts
   */
  constructor(
    private readonly options: DaemonProcessOptions,
    private readonly clock: Clock,
  ) {
    this.host = options.settings.host.id;
    this.zone = options.settings.host.zone;
  }

  /** Base URL for callers and operators. */
  get callerUrl(): string {
    const {address, callerPort} = this.options.settings.listen;
    return `http://${address}:${callerPort}`;
  }

  /** Base URL for health, readiness and metrics. */
  get opsUrl(): string {
    const {address, opsPort} = this.options.settings.listen;
    return `http://${address}:${opsPort}`;
  }

  /** Settings of the daemon; changes take effect at the next start. */
  get settings(): DaemonSettings {
    return this.options.settings;
  }

  /** Process of the last start. */
  get process(): ChildProcess {
    if (this.child !== undefined) return this.child;
    throw new SavoryspurError(
      ErrorCode.UNAVAILABLE,
      {step: 'testkit.daemon', peer: this.host},
      'the daemon was never started',
    );
  }

  /** Writes the settings and starts the daemon. */
  async start(): Promise<void> {
    const file = path.join(this.options.dir, `${this.host}.toml`);
    await fs.writeFile(file, stringify(this.options.settings));
    this.child = await ChildProcess.start(
      {
        name: this.host,
        script: this.options.script ?? DAEMON_SCRIPT,
        args: ['--settings', file],
        env: this.options.env,
      },
      this.clock,
    );
  }

  /** Waits until the daemon reports that it accepts new connections. */
  async waitReady(): Promise<void> {
    const deadlineMs = this.clock.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (this.clock.now() > deadlineMs || !this.process.isRunning()) {
        throw new SavoryspurError(
          ErrorCode.TIMEOUT,
          {step: 'testkit.ready', peer: this.host},
          `not ready: ${this.process.errorOutput}`,
        );
      }
      await this.clock.sleep(READY_CHECK_DELAY_MS);
    }
  }

  /** Tells whether the daemon reports that it accepts new connections. */
  async isReady(): Promise<boolean> {
    try {
      const answer = await sendRequest(`${this.opsUrl}/ready`, {
        reset: true,
        signal: AbortSignal.timeout(READY_CHECK_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Stops the daemon with SIGTERM. */
  async stop(): Promise<ProcessExit | undefined> {
    return this.child?.stop(this.clock);
  }

  /** Kills the daemon with SIGKILL. */
  async kill(): Promise<void> {
    await this.child?.kill();
  }

  /** Creates the entry of the daemon in the host list. */
  describe(state = ListedHostState.LIVE): ListedHost {
    return describeHost(this.options.settings, state);
  }
}
