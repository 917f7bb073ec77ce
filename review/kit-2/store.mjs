/**
 * Small stand-in of the platform's store: rows, change feed and objects, as
 * PROTOCOL.md describes them ("The platform's metadata store").
 */
import http from 'node:http';

const BATCH_WAIT_LIMIT_MS = 30_000;
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;

export class Store {
  rows = new Map();
  /** Changes in the order of their versions, without limit unless {@link forgetHistory} is called. */
  changes = [];
  objects = new Map();
  version = 0;
  /** Changes up to this version are no longer available. */
  historyStart = 0;
  /** Time that a transaction takes, milliseconds. */
  transactionMs = 5;
  /** Time that a read takes, milliseconds. */
  readMs = 4;
  /** Time that a call on an object takes, milliseconds. */
  objectMs = 25;
  /** Called with each call before it is executed; may return a promise that delays it, or a status to answer with. */
  intercept = () => undefined;
  waiters = new Set();

  constructor() {
    this.server = this.createEndpoint();
  }

  /** Creates a server that answers the calls of daemons. */
  createEndpoint() {
    const server = http.createServer((request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('end', () => {
        void this.serve(request, response, Buffer.concat(parts));
      });
    });
    server.keepAliveTimeout = 60_000;
    return server;
  }

  async start(port = 0, address = '127.0.0.1') {
    await new Promise((resolve) => this.server.listen(port, address, resolve));
    this.address = `${address}:${this.server.address().port}`;
    return this.address;
  }

  async close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a backend server does. */
  put(table, key, value, part = '') {
    this.version += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.write({table, part, key, value: text, rowVersion: this.version});
    this.wake();
  }

  remove(table, key, part = '') {
    this.version += 1;
    this.write({table, part, key, deleted: true, rowVersion: this.version});
    this.wake();
  }

  /** Reads the JSON value of a row; undefined when there is none. */
  get(table, key, part = '') {
    const row = this.rows.get(rowName({table, part, key}));
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  /** Lists the rows of a table with their JSON values. */
  list(table) {
    return [...this.rows.values()]
      .filter((row) => row.table === table)
      .map((row) => ({
        ...row,
        value: JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')),
      }));
  }

  forgetHistory() {
    this.historyStart = this.version;
    this.changes = [];
    this.wake();
  }

  write(row) {
    if (row.deleted) this.rows.delete(rowName(row));
    else this.rows.set(rowName(row), row);
    this.changes.push(row);
  }

  wake() {
    for (const wake of [...this.waiters]) wake();
  }

  async serve(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const intercepted = await this.intercept(request.method, url, body);
    if (typeof intercepted === 'number') {
      return answer(response, intercepted, {});
    }
    const [, call, name] = url.pathname.split('/');
    if (call === 'rows-tx') {
      await pause(this.transactionMs);
      return answer(response, ...this.transact(JSON.parse(body.toString())));
    }
    if (call === 'rows-feed') return this.feed(url.searchParams, response);
    if (call === 'rows-get' || call === 'rows-parts') {
      await pause(this.readMs);
      const read = call === 'rows-get' ? 'readRows' : 'readParts';
      return answer(response, 200, this[read](url.searchParams));
    }
    if (call?.startsWith('blob-')) {
      await pause(this.objectMs);
      return this.serveObject(call, name, body, response);
    }
    answer(response, 404, {});
  }

  transact({expectedRevision = [], write = [], remove = []}) {
    const isMet = expectedRevision.every(
      (row) =>
        (this.rows.get(rowName(row))?.rowVersion ?? 0) === row.rowVersion,
    );
    if (!isMet) {
      const rows = expectedRevision
        .map((row) => this.rows.get(rowName(row)))
        .filter((row) => row !== undefined);
      return [412, {rows, ...this.times()}];
    }
    this.version += 1;
    const rowVersion = this.version;
    for (const {table, part = '', key, value} of write) {
      this.write({table, part, key, value, rowVersion});
    }
    for (const {table, part = '', key} of remove) {
      this.write({table, part, key, deleted: true, rowVersion});
    }
    this.wake();
    return [200, this.times()];
  }

  readRows(query) {
    const start = query.get('rangeStart') ?? '';
    const end = query.get('target');
    const limit = Math.min(Number(query.get('limit') ?? 500), MAX_PAGE_ROWS);
    const found = [...this.rows.values()]
      .filter(
        (row) =>
          row.table === query.get('table') &&
          row.part === (query.get('part') ?? '') &&
          row.key >= start &&
          (end === null || row.key < end),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (rows.length === limit) break;
      if (rows.length > 0 && bytes > MAX_PAGE_BYTES) break;
      rows.push(row);
    }
    return {rows, hasMore: rows.length < found.length, ...this.times()};
  }

  readParts(query) {
    const table = query.get('table');
    const parts = new Set(
      [...this.rows.values()]
        .filter((row) => row.table === table)
        .map((row) => row.part),
    );
    return {parts: [...parts].sort(), hasMore: false};
  }

  async feed(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const waitMs = Math.min(
      Number(query.get('waitMs') ?? 0),
      BATCH_WAIT_LIMIT_MS,
    );
    const untilMs = performance.now() + waitMs;
    for (;;) {
      if (after < this.historyStart) return answer(response, 410, {});
      const rows = this.changes.filter(
        (row) => row.table === table && row.rowVersion > after,
      );
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return answer(response, 200, {rows, ...this.times()});
      }
      await this.wait(leftMs);
      if (response.destroyed) return;
    }
  }

  wait(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  serveObject(call, name, body, response) {
    if (call === 'blob-put') {
      if (this.objects.has(name)) return answer(response, 412, {});
      this.objects.set(name, body);
      return answer(response, 200, {});
    }
    if (call === 'blob-list') {
      return answer(response, 200, {names: [...this.objects.keys()]});
    }
    const object = this.objects.get(name);
    if (call === 'blob-drop') this.objects.delete(name);
    if (!object) return answer(response, 404, {});
    response.writeHead(200, {'content-length': object.length}).end(object);
  }

  times() {
    return {rowVersion: this.version, nowMs: performance.now()};
  }
}

function rowName({table, part = '', key}) {
  return `${table}\u0000${part}\u0000${key}`;
}

function answer(response, status, value) {
  if (response.destroyed) return;
  const body = Buffer.from(JSON.stringify(value));
  response
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
    })
    .end(body);
}

function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
