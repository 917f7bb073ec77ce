// Stand-in of a backend server of PROTOCOL.md.
import http from 'node:http';
import {readBody, sleep} from './store.mjs';

/** Server that passes each request that it runs to a handler. */
export class Server {
  /**
   * @param id - entityId of the server
   * @param handle - answers one request: gets the request and the response
   * @param slots - number of requests that run at once
   */
  constructor(id, handle, slots = 8) {
    this.id = id;
    this.slots = slots;
    /** Requests that have begun to run. */
    this.runs = [];
    this.running = 0;
    this.server = http.createServer((message, response) => {
      this.serve(message, response, handle).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start(address) {
    await new Promise((resolve) => this.server.listen(0, address, resolve));
    this.address = `${address}:${this.server.address().port}`;
    return this.address;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Entry of the server in the store. */
  describe(service, zone) {
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      warmupLeftMs: 0,
      born: Date.now(),
      seq: 1,
    };
  }

  async serve(message, response, handle) {
    const body = await readBody(message);
    const target = message.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, {'X-Instance-Id': this.id}).end();
      return;
    }
    const id = message.headers['x-attempt-id'];
    if (id === undefined || id === '') {
      response.writeHead(400, {'X-Not-Executed': '1'}).end();
      return;
    }
    if (this.running >= this.slots) {
      response
        .writeHead(503, {'X-Attempt-Id': id, 'X-Not-Executed': '1'})
        .end();
      return;
    }
    const run = {
      id,
      atMs: Date.now(),
      method: message.method,
      path: message.url,
      headers: message.headers,
      rawHeaders: message.rawHeaders,
      body,
    };
    this.runs.push(run);
    this.running += 1;
    try {
      await handle(run, response, this);
    } finally {
      this.running -= 1;
    }
  }

  /** Headers that every answer to a request that ran has. */
  sign({id}) {
    return {'X-Attempt-Id': id, 'X-Response-Signature': `3e1b.${this.id}`};
  }

  /** Streams the events after Last-Event-Id. */
  async stream(run, response, events, pauseMs = 5) {
    const after = Number(run.headers['last-event-id'] ?? 0);
    const headers = {...this.sign(run), 'Content-Type': 'text/event-stream'};
    response.writeHead(200, headers);
    for (let id = after + 1; id <= events.length; id += 1) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: ${events[id - 1]}\n\n`);
      if (pauseMs > 0) await sleep(pauseMs);
    }
    response.end();
  }
}
