/**
 * Measures how the upload of a large file affects the daemon: the delays of the
 * event loop and the memory, compared with parsing the whole file at once.
 * Run it with `node --expose-gc packages/batch/dist/tests/measure_upload.js`.
 */
import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {createJobService} from '../src/index.js';
import {
  Fault,
  type StorageLink,
  LinkedObjects,
  LinkedTable,
  MemoryStorage,
} from './memory_storage.js';
import {formatLine} from './outcome_checker.js';
import {TEST_SETTINGS} from './test_fleet.js';

/** Number of items in the file. */
const ITEMS = 500_000;

/** Minimum size of a block of the stream, bytes. */
const BLOCK_BYTES = 64 * 1024;

/** Bytes in a megabyte. */
const MEGABYTE = 1024 * 1024;

/** Nanoseconds in a millisecond. */
const NS_PER_MS = 1e6;

/** Streams the file without keeping it in memory. */
async function* streamFile(): AsyncGenerator<Buffer> {
  let text = '';
  for (let n = 0; n < ITEMS; n++) {
    text += `${formatLine(`lot-${n}`)}\n`;
    if (text.length < BLOCK_BYTES) continue;
    yield Buffer.from(text);
    text = '';
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  yield Buffer.from(text);
}

/** Runs a task and prints its duration, event loop delays and peak memory. */
async function measure(
  name: string,
  run: () => Promise<string>,
): Promise<void> {
  global.gc?.();
  const delay = monitorEventLoopDelay({resolution: 1});
  const startMs = performance.now();
  let peakBytes = 0;
  const baseBytes = process.memoryUsage().rss;
  const sampler = setInterval(() => {
    peakBytes = Math.max(peakBytes, process.memoryUsage().rss - baseBytes);
  }, 20);
  delay.enable();
  const result = await run();
  await new Promise<void>((resolve) => setTimeout(resolve, 50));
  delay.disable();
  clearInterval(sampler);
  const seconds = (performance.now() - startMs) / 1000;
  console.log(
    `${name}: ${result}, ${seconds.toFixed(1)} s, event loop p99 ${(delay.percentile(99) / NS_PER_MS).toFixed(1)} ms, p99.9 ${(delay.percentile(99.9) / NS_PER_MS).toFixed(1)} ms, max ${(delay.max / NS_PER_MS).toFixed(1)} ms, memory +${(peakBytes / MEGABYTE).toFixed(0)} MB`,
  );
}

/** Storage that counts the bytes of objects and does not keep them. */
class CountingStorage extends MemoryStorage {
  bytes = 0;
}

async function runUpload(): Promise<string> {
  const platform = new CountingStorage();
  const link: StorageLink = {
    waitWhilePaused: () => Promise.resolve(),
    chooseFault: () => Fault.NONE,
  };
  platform.objects.set = (name, body) => {
    platform.bytes += body.length;
    return platform.objects;
  };
  const service = createJobService({
    table: new LinkedTable(platform, link),
    objects: new LinkedObjects(platform, link),
    clock: new SystemClock(),
    log: new MemoryEventLog(),
    settings: {...TEST_SETTINGS, chunkItems: 200, maxItems: ITEMS},
  });
  const file = await service.createFile({
    workspace: 'fraser',
    filename: 'lots.jsonl',
    content: streamFile(),
  });
  if (file.isErr()) throw file.error;
  return `${(platform.bytes / MEGABYTE).toFixed(0)} MB stored`;
}

async function runWholeParse(): Promise<string> {
  const blocks: Buffer[] = [];
  for await (const block of streamFile()) blocks.push(block);
  const lines = Buffer.concat(blocks).toString('utf8').trimEnd().split('\n');
  const ids = new Set(
    lines.map((line) => (JSON.parse(line) as {custom_id: string}).custom_id),
  );
  return `${ids.size} items`;
}

await measure('stream only', async () => {
  let bytes = 0;
  for await (const block of streamFile()) bytes += block.length;
  return `${(bytes / MEGABYTE).toFixed(0)} MB`;
});
await measure('upload in slices', runUpload);
await measure('one parse of the whole file', runWholeParse);
