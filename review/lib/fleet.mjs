// Starts the daemons with the command of the deploy file, on loopback addresses.
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {readBody, sleep} from './store.mjs';

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);

const START_TIMEOUT_MS = 30_000;

/** The case could not run: exit code 2. */
export class CannotRunError extends Error {}

function readRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!run) throw new CannotRunError('deploy/system.toml names no run command');
  return run.split(' ');
}

function isFree(address, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

/** Daemons of one deployment; each has an address of its own and the same ports. */
export class Fleet {
  /**
   * @param hasLogPipe - whether the logs go to a pipe that this process reads, and not to a file
   */
  constructor({daemons, store, zones = ['zone-a'], graceS = 8, hasLogPipe}) {
    this.count = daemons;
    this.store = store;
    this.zones = zones;
    this.graceS = graceS;
    this.hasLogPipe = hasLogPipe === true;
    this.dir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.daemons = [];
  }

  async start() {
    const port = await this.findPorts();
    // No daemon outlives this process, however it ends.
    process.once('exit', () => {
      for (const {child} of this.daemons) child?.kill('SIGKILL');
    });
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.once(signal, () => process.exit(2));
    for (let index = 0; index < this.count; index += 1) {
      const ip = `127.0.1.${index + 1}`;
      const daemon = {index, ip, port, name: `frontend-${index + 1}`};
      daemon.zone = this.zones[index % this.zones.length];
      daemon.settings = path.join(this.dir, `${daemon.name}.toml`);
      daemon.log = path.join(this.dir, `${daemon.name}.log`);
      daemon.ends = [];
      this.writeSettings(daemon);
      this.daemons.push(daemon);
      this.spawn(daemon);
    }
    await this.waitUntilReady();
  }

  async findPorts() {
    for (let tries = 0; tries < 50; tries += 1) {
      const port = 20_000 + Math.floor(Math.random() * 400) * 25;
      const wanted = [port, port + 1, port + 4, port + 5];
      const free = await Promise.all(
        wanted.map((one) => isFree('127.0.1.1', one)),
      );
      if (free.every(Boolean)) return port;
    }
    throw new CannotRunError('no free ports');
  }

  /** Writes the settings file of a daemon. */
  writeSettings(daemon) {
    fs.writeFileSync(daemon.settings, this.formatSettings(daemon));
  }

  formatSettings({name, ip, port, zone}) {
    const zones = this.zones.map((one) => `${one} = "region-a"`).join('\n');
    return `nodeName = "${name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "${ip}"
zone = "${zone}"
region = "region-a"
internalPorts = [${port + 4}, ${port + 19}]
seeds = []
firstStart = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","places","platform"]
[zones]
${zones}
[listen]
frontend = "${ip}:${port}"
readiness = "${ip}:${port + 1}"
control = "${ip}:${port + 2}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = 390
fileDescriptors = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.8
drainMs = 2000
graceS = ${this.graceS}
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionMaxMs = 5000
revocationStrict = false
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
warmupOvershoot = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 12
eventDelayMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
[platform]
address = "${this.store}"
form = "table"
writesPerS = 1500
readsPerS = 6000
transactionMs = 5.0
partWritesPerS = 200
rowBytes = 65536
crossShard = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`;
  }

  spawn(daemon) {
    const [program, ...words] = readRunCommand();
    const {PATH, HOME, LANG} = process.env;
    const out = this.hasLogPipe ? 'pipe' : fs.openSync(daemon.log, 'a');
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, SAVORYSPUR_NODE_FILE: daemon.settings},
      stdio: ['ignore', out, out],
    });
    if (out === 'pipe') {
      for (const stream of [child.stdout, child.stderr])
        stream.on('data', (bytes) => fs.appendFileSync(daemon.log, bytes));
    } else {
      fs.closeSync(out);
    }
    daemon.child = child;
    child.once('exit', (code, signal) => {
      daemon.ends.push({code, signal, pid: child.pid});
      if (daemon.child === child) daemon.child = undefined;
    });
  }

  async kill(daemon) {
    const {child} = daemon;
    if (!child) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  async isReady({ip, port}) {
    try {
      const answer = await send({
        host: ip,
        port: port + 1,
        path: '/readiness',
        method: 'GET',
        timeoutMs: 1000,
      });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(daemons = this.daemons) {
    const untilMs = Date.now() + START_TIMEOUT_MS;
    for (const daemon of daemons) {
      while (!(await this.isReady(daemon))) {
        if (Date.now() > untilMs)
          throw new CannotRunError(`${daemon.name} is not ready`);
        await sleep(25);
      }
    }
  }

  async stop() {
    await Promise.all(this.daemons.map((daemon) => this.kill(daemon)));
    if (process.env.KEEP_LOGS) console.log(`logs: ${this.dir}`);
    else fs.rmSync(this.dir, {recursive: true, force: true});
  }
}

/** Sends one request on a new connection; rejects when there is no complete answer. */
export function send({
  host,
  port,
  path: target,
  method = 'POST',
  headers = {},
  body,
  timeoutMs = 10_000,
}) {
  return new Promise((resolve, reject) => {
    const request = http.request(
      {host, port, path: target, method, headers, agent: false},
      (message) => {
        readBody(message).then(
          (bytes) =>
            resolve({
              status: message.statusCode,
              headers: message.headers,
              body: bytes,
            }),
          reject,
        );
      },
    );
    const timer = setTimeout(
      () => request.destroy(new Error(`no answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    request.once('close', () => clearTimeout(timer));
    request.once('error', reject);
    request.end(body);
  });
}

/** Writes what was sent, answered and run to record.txt beside the case. */
export class Record {
  constructor(dir) {
    this.file = path.join(dir, 'record.txt');
    this.startMs = Date.now();
    this.lines = [];
  }

  add(line) {
    const seconds = ((Date.now() - this.startMs) / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${line}`);
  }

  write() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and exits: 1 when the rule was broken, 0 when it held, 2 when the
 * case could not run.
 *
 * @param url - import.meta.url of the case
 * @param run - gets the record and whether there is trouble; adds functions that
 *     clean up; gives the breaches that it saw
 */
export async function runCase(url, run) {
  const record = new Record(path.dirname(fileURLToPath(url)));
  const hasTrouble = process.env.TROUBLE !== '0';
  const cleanUps = [];
  let code = 2;
  record.add(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  try {
    const breaches = await run({record, hasTrouble, cleanUps});
    for (const breach of breaches) record.add(`BROKEN ${breach}`);
    code = breaches.length > 0 ? 1 : 0;
  } catch (thrown) {
    record.add(`could not run: ${thrown.stack}`);
  }
  for (const cleanUp of cleanUps.reverse()) await cleanUp();
  record.add(`exit ${code}`);
  record.write();
  console.log(record.lines.slice(-12).join('\n'));
  process.exit(code);
}
