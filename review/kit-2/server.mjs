/**
 * Small stand-in of a backend server, as PROTOCOL.md describes them ("Servers"):
 * complete answers and streams, resumed with Last-Event-Id.
 */
import http from 'node:http';

export class Server {
  /** Requests that began to run: id, time, and what is of interest of them. */
  runs = [];
  /** Requests that were rejected as not run. */
  rejected = [];
  sockets = new Set();
  running = 0;
  isDown = true;

  /**
   * @param options - id, service, zone, store and record; answerMs, events, eventMs;
   *     hasCrashed, which tells whether a request crashes the server; downMs, the time
   *     from a crash to the next start
   */
  constructor(options) {
    this.options = options;
    this.starts = 0;
    this.port = 0;
  }

  async start() {
    const {id, store} = this.options;
    this.starts += 1;
    this.isDown = false;
    this.entityId = this.starts === 1 ? id : `${id}-${this.starts}`;
    this.born = Date.now();
    this.server = http.createServer((request, response) => {
      const parts = [];
      response.on('error', () => undefined);
      request.on('error', () => undefined);
      request.on('data', (part) => parts.push(part));
      request.on('end', () => {
        void this.serve(request, response, Buffer.concat(parts));
      });
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve) =>
      this.server.listen(this.port, '127.0.0.1', resolve),
    );
    this.port = this.server.address().port;
    if (store) this.register();
  }

  register(changes = {}) {
    const {store, service, zone = 'zone-a', slots = 8} = this.options;
    this.seq = (this.seq ?? 0) + 1;
    store.put('servers', this.entityId, {
      service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      warmupLeftMs: 0,
      seq: this.seq,
      born: this.born,
      ...changes,
    });
  }

  /** Ends without a word; its entry expires after three heartbeats. */
  crash() {
    if (this.isDown) return;
    this.isDown = true;
    const {entityId} = this;
    const {store, downMs = 3000, expiryMs = 3600} = this.options;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.running = 0;
    setTimeout(() => store?.remove('servers', entityId), expiryMs);
    if (downMs < Infinity) {
      setTimeout(() => this.isClosed || void this.start(), downMs);
    }
  }

  close() {
    this.isClosed = true;
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async serve(request, response, body) {
    const {headers} = request;
    const id = headers['x-attempt-id'];
    const base = {
      'X-Attempt-Id': id ?? '',
      'X-Response-Signature': `signed-${this.entityId}`,
    };
    const target = headers['x-target-instance'];
    if (target !== undefined && target !== this.entityId) {
      this.rejected.push({id, status: 421});
      response.writeHead(421, {...base, 'X-Not-Executed': '1'}).end();
      return;
    }
    if (this.running >= (this.options.slots ?? 8) + 24) {
      this.rejected.push({id, status: 503});
      response.writeHead(503, {...base, 'X-Not-Executed': '1'}).end();
      return;
    }
    const run = {
      id,
      server: this.entityId,
      startedAtMs: performance.now(),
      endedAtMs: undefined,
      method: request.method,
      url: request.url,
      headers,
      body,
      events: 0,
      isComplete: false,
    };
    this.runs.push(run);
    this.options.onRun?.(run, this);
    this.running += 1;
    response.once('close', () => {
      this.running = Math.max(0, this.running - 1);
      run.endedAtMs = performance.now();
    });
    if (this.options.crashesOn?.(run)) {
      await pause(this.options.crashAfterMs ?? 5);
      run.hasCrashed = true;
      // Another request may have crashed this server meanwhile.
      if (this.isDown || run.server !== this.entityId) return;
      this.options.onCrash?.(run, this);
      this.crash();
      return;
    }
    if (headers['x-model'] !== undefined) {
      await this.stream(run, response, base);
      return;
    }
    await pause(this.options.answerMs ?? 20);
    if (response.destroyed) return;
    const text = Buffer.from(`answer to ${id}`);
    response.writeHead(200, {...base, 'content-length': text.length}).end(text);
    run.isComplete = true;
  }

  async stream(run, response, base) {
    const {events = 10, eventMs = 20} = this.options;
    const last = run.headers['last-event-id'];
    await pause(this.options.answerMs ?? 20);
    if (response.destroyed) return;
    response.writeHead(200, {...base, 'content-type': 'text/event-stream'});
    for (let n = Number(last ?? 0) + 1; n <= events; n += 1) {
      if (response.destroyed) return;
      response.write(`id: ${n}\ndata: piece ${n} of ${run.id}\n\n`);
      run.events = n;
      await pause(eventMs);
    }
    if (response.destroyed) return;
    response.end();
    run.isComplete = true;
  }
}

export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
