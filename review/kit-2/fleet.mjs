/** Daemons as processes of their own with the command of the deploy file, a client, and the record of a case. */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {pause} from './server.mjs';

export const ROOT = path.resolve(import.meta.dirname, '../..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const KEY = 'key-one';
export const HOST = 'works.example';

/** Longest time of a case, milliseconds. */
const MAX_CASE_MS = 115_000;

const COMMAND = readCommand();

/** Reads the command of the role from the deploy file. */
function readCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const match = /^run = "(.+)"$/m.exec(text);
  return match[1].split(' ');
}

/** Writes what a case sent, got and saw to `record.txt` in its folder. */
export class CaseRecord {
  startMs = performance.now();

  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    fs.writeFileSync(this.file, '');
  }

  write(text) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    fs.appendFileSync(this.file, `${seconds} ${text}\n`);
  }
}

/** Finds ports that are free on 127.0.0.1 now; the first of a run of `count`. */
export async function findPorts(count) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const all = Array.from({length: count}, (none, index) => first + index);
    const free = await Promise.all(all.map(isFree));
    if (free.every(Boolean)) return first;
  }
  throw new Error('no free ports');
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export class Daemon {
  exits = [];
  log = '';

  constructor({
    name,
    zone,
    store,
    firstPort,
    folder,
    memoryMb = 390,
    statusS = 120,
  }) {
    this.name = name;
    this.zone = zone;
    this.port = firstPort;
    this.readinessPort = firstPort + 1;
    this.settings = path.join(folder, `${name}.toml`);
    fs.writeFileSync(
      this.settings,
      `nodeName = "${name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "${zone}"
region = "area"
internalPorts = [${firstPort + 3}, ${firstPort + 18}]
seeds = []
firstStart = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","places","platform"]
[zones]
zone-a = "area"
zone-b = "area"
zone-c = "area"
[listen]
frontend = "127.0.0.1:${firstPort}"
readiness = "127.0.0.1:${firstPort + 1}"
control = "127.0.0.1:${firstPort + 2}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = ${memoryMb}
fileDescriptors = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionMaxMs = 5000
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
warmupOvershoot = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 12
eventDelayMs = 120
finishS = 18
statusS = ${statusS}
cancelMs = 3000
settleMs = 1000
[platform]
address = "${store}"
form = "table"
writesPerS = 800
readsPerS = 2000
transactionMs = 5.0
partWritesPerS = 200
rowBytes = 65536
crossShard = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`,
    );
  }

  start() {
    const [, ...args] = COMMAND;
    this.child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: os.tmpdir(),
        SAVORYSPUR_NODE_FILE: this.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      stream.on('data', (text) => (this.log += text));
    }
    child.once('exit', (code, signal) => {
      this.exits.push({code, signal});
      if (this.child === child) this.child = undefined;
      this.onExit?.(code, signal);
    });
  }

  /** Replaces a text of the settings file, as the platform does when settings change. */
  changeSettings(from, to) {
    const text = fs.readFileSync(this.settings, 'utf8');
    fs.writeFileSync(this.settings, text.replace(from, to));
  }

  kill(signal = 'SIGKILL') {
    this.child?.kill(signal);
  }

  async waitForExit() {
    while (this.child) await pause(20);
  }

  async isReady() {
    const answer = await call({port: this.readinessPort, path: '/readiness'});
    return answer.status === 200;
  }
}

/** Makes one call on a connection of its own; gives status 0 when there is no complete answer. */
export function call({
  port,
  method = 'GET',
  path: target,
  headers = {},
  body,
  timeoutMs = 10_000,
  onEvent,
}) {
  return new Promise((resolve) => {
    const parts = [];
    let status = 0;
    const finish = (result) => {
      clearTimeout(timer);
      resolve({...result, body: Buffer.concat(parts).toString('utf8')});
    };
    const request = http.request(
      {host: '127.0.0.1', port, method, path: target, headers, agent: false},
      (response) => {
        status = response.statusCode;
        response.on('data', (part) => {
          parts.push(part);
          onEvent?.(part);
        });
        response.on('error', (error) =>
          finish({status: 0, head: status, error: error.message}),
        );
        response.on('aborted', () =>
          finish({status: 0, head: status, error: 'aborted'}),
        );
        response.on('end', () => finish({status, headers: response.headers}));
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      finish({status: 0, error: 'timeout'});
    }, timeoutMs);
    request.on('error', (error) => finish({status: 0, error: error.message}));
    if (body !== undefined) request.write(body);
    request.end();
  });
}

/** Starts daemons in the zones, one after the other in the list, and waits until all are ready. */
export async function startDaemons({store, count, folder, memoryMb, statusS}) {
  const firstPort = await findPorts(count * 20);
  const daemons = Array.from({length: count}, (none, index) => {
    return new Daemon({
      name: `frontend-${index + 1}`,
      zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
      store: typeof store === 'function' ? store(index) : store,
      firstPort: firstPort + index * 20,
      folder,
      memoryMb,
      statusS,
    });
  });
  for (const daemon of daemons) daemon.start();
  for (const daemon of daemons) await waitUntil(() => daemon.isReady(), 20_000);
  return daemons;
}

export async function waitUntil(isMet, timeoutMs) {
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    if (await isMet()) return true;
    await pause(50);
  }
  return false;
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param folder - folder of the case
 * @param run - gets the record, a temporary folder and a list for what to stop; returns a list of breaches
 */
export async function runCase(folder, run) {
  const record = new CaseRecord(folder);
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const started = [];
  const stopAll = () => {
    for (const thing of started) {
      if (thing instanceof Daemon) {
        thing.onExit = undefined;
        thing.kill('SIGKILL');
      } else {
        void thing.close();
      }
    }
    fs.rmSync(temporary, {recursive: true, force: true});
  };
  const end = (code) => {
    stopAll();
    process.exit(code);
  };
  const timer = setTimeout(() => {
    record.write('the case took too long');
    end(2);
  }, MAX_CASE_MS);
  process.once('SIGTERM', () => end(2));
  process.once('SIGINT', () => end(2));
  try {
    record.write(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`);
    const breaches = await run({record, temporary, started});
    clearTimeout(timer);
    for (const breach of breaches) record.write(`BREACH: ${breach}`);
    record.write(breaches.length > 0 ? 'the rule was broken' : 'the rule held');
    end(breaches.length > 0 ? 1 : 0);
  } catch (thrown) {
    record.write(`the case could not run: ${thrown?.stack ?? thrown}`);
    end(2);
  }
}

/** Creates a desired state with the given routes and services. */
export function createDesiredState(version, {routes, services, tenants}) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      timeoutMs: 5000,
      targetLatencyMs: 300,
      priority: 0,
      attempts: 2,
      public: false,
      sticky: false,
      ...route,
    })),
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: tenants ?? [
      {name: 'tenant-one', apiKeys: [KEY], ratePerS: 0, burst: 0},
    ],
  };
}
