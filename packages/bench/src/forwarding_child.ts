/** Runs the server or the host in between of forwarded calls in a process of its own. */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';

const MAIN_FILE = path.resolve(import.meta.dirname, 'forwarding_child_main.js');

/** What a process is in the measurement. */
export enum ChildRole {
  SERVER = 'server',
  HOST_BETWEEN = 'host-between',
}

/** Processor time and traffic of a process since its start. */
export interface ChildReading {
  /** Processor time in user and system mode. */
  cpuMicroseconds: number;
  /** Bytes that incoming connections have received. */
  receivedBytes: number;
  /** Bytes that incoming connections have sent. */
  sentBytes: number;
  /** Number of open incoming connections. */
  connections: number;
  /** Heap and array buffers in use after a garbage collection. */
  heapBytes?: number;
  residentBytes?: number;
}

/** Process with one role. */
export class ForwardingChild {
  private constructor(
    private readonly child: ChildProcess,
    /** Port on which the process listens. */
    readonly port: number,
  ) {}

  /**
   * Starts a process.
   *
   * @param role - what the process is
   * @param serverPort - port of the server, for the host in between
   */
  static async start(
    role: ChildRole,
    serverPort?: number,
  ): Promise<ForwardingChild> {
    const child = fork(MAIN_FILE, [role, String(serverPort ?? '')]);
    const [port] = (await once(child, 'message')) as [number];
    return new ForwardingChild(child, port);
  }

  /**
   * Reads the counters of the process.
   *
   * @param isHeapRead - whether the process collects garbage and reads its memory
   */
  async read(isHeapRead = false): Promise<ChildReading> {
    const answered = once(this.child, 'message');
    this.child.send(isHeapRead);
    const [reading] = (await answered) as [ChildReading];
    return reading;
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.disconnect();
    await exited;
  }
}
