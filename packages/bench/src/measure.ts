/** Measures the CPU time and memory of this and other processes. */
import fs from 'node:fs';
import v8 from 'node:v8';
import vm from 'node:vm';

/** Clock ticks per second in the kernel's process accounting. */
const TICKS_PER_SECOND = 100;

/**
 * Index of the user time among the fields after the command in
 * `/proc/<pid>/stat`; the system time follows.
 */
const USER_TIME_INDEX = 11;

const MICROSECONDS_PER_SECOND = 1e6;

/** CPU time, I/O and memory of a process since its start. */
export interface ProcessReading {
  cpuSeconds: number;
  /** Bytes read and written by system calls, also on sockets. */
  ioBytes: number;
  residentBytes: number;
}

/** Measures the CPU time that this process uses while a task runs, seconds. */
export async function measureCpu(
  task: () => Promise<void> | void,
): Promise<number> {
  const before = process.cpuUsage();
  await task();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / MICROSECONDS_PER_SECOND;
}

/** Builds a value and measures by how many bytes the heap in use grows. */
export async function measureHeap<T>(
  build: () => Promise<T> | T,
): Promise<{bytes: number; value: T}> {
  const before = readHeap();
  const value = await build();
  return {bytes: readHeap() - before, value};
}

/** Reads the kernel's accounting of a process from `/proc`. */
export function readProcess(pid: number): ProcessReading {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const user = Number(fields[USER_TIME_INDEX]);
  const system = Number(fields[USER_TIME_INDEX + 1]);
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    cpuSeconds: (user + system) / TICKS_PER_SECOND,
    ioBytes: findNumber(io, 'rchar') + findNumber(io, 'wchar'),
    residentBytes: findNumber(status, 'VmRSS') * 1024,
  };
}

/** Collects garbage, then reads the size of heap and array buffers in use, bytes. */
export function readHeap(): number {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  collect();
  collect();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function findNumber(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text);
  return Number(match?.[1] ?? Number.NaN);
}
