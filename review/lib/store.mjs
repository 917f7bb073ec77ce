// Stand-in of the platform's store, with the limits that PROTOCOL.md states.
import http from 'node:http';
import {performance} from 'node:perf_hooks';

const MAX_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_CALL_BYTES = 1_048_576;
const MAX_ENTRIES = 100;
const MAX_OBJECT_BYTES = 400 * 1024 * 1024;

/** Reads the whole body of a message. */
export async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

/** In-memory store over HTTP. */
export class Store {
  constructor({rowBytes = 65_536, blobBytes = 8_388_608, delayMs = 4} = {}) {
    this.limits = {rowBytes, blobBytes};
    this.delayMs = delayMs;
    this.rows = new Map();
    this.objects = new Map();
    this.objectBytes = 0;
    this.history = [];
    this.version = 0;
    this.waiters = new Set();
    /** Called with a line for each write that a limit refuses. */
    this.onRefused = () => undefined;
    /** HTTP servers by the address at which the store answers. */
    this.servers = new Map();
  }

  async start(address) {
    return this.addAddress(address);
  }

  /** Lets the store answer at one more address. */
  async addAddress(ip) {
    const server = http.createServer((message, response) => {
      this.serve(message, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, ip, resolve));
    const address = `${ip}:${server.address().port}`;
    this.servers.set(address, server);
    return address;
  }

  /** Ends the answers at an address. */
  closeAddress(address) {
    const server = this.servers.get(address);
    server.close();
    server.closeAllConnections();
  }

  close() {
    for (const address of this.servers.keys()) this.closeAddress(address);
  }

  /** Writes a row as the operator or a server does. */
  put(table, key, value) {
    this.version += 1;
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    const row = {table, part: '', key, value: encoded};
    this.apply({...row, rowVersion: this.version});
    this.notify();
  }

  /** Removes a row as the operator or a server does. */
  remove(table, key) {
    this.version += 1;
    const rowVersion = this.version;
    this.apply({table, part: '', key, deleted: true, rowVersion});
    this.notify();
  }

  /** Lists the decoded rows of a table. */
  list(table) {
    return [...this.rows.values()]
      .filter((row) => row.table === table)
      .map((row) => ({
        ...row,
        json: JSON.parse(Buffer.from(row.value, 'base64').toString()),
      }));
  }

  async serve(message, response) {
    const body = await readBody(message);
    const url = new URL(message.url, 'http://store');
    const path = url.pathname;
    if (this.delayMs > 0) await sleep(this.delayMs);
    const answer = await this.route(message.method, path, url, body);
    if (response.destroyed) return;
    const isObject = Buffer.isBuffer(answer.body);
    const bytes = isObject ? answer.body : JSON.stringify(answer.body ?? {});
    const type = isObject ? 'application/octet-stream' : 'application/json';
    response.writeHead(answer.status, {
      'content-type': type,
      'content-length': Buffer.byteLength(bytes),
    });
    response.end(bytes);
  }

  async route(method, path, url, body) {
    const query = url.searchParams;
    if (method === 'POST' && path === '/rows-tx') return this.transact(body);
    if (method === 'GET' && path === '/rows-get') return this.read(query);
    if (method === 'GET' && path === '/rows-parts') return this.parts(query);
    if (method === 'GET' && path === '/rows-feed') return this.feed(query);
    const match = /^\/blob-(put|get|drop)\/(.+)$/.exec(path);
    if (match) return this.object(match[1], match[2], body);
    if (path === '/blob-list') return this.listObjects(query);
    return {status: 404};
  }

  refuse(status, reason) {
    this.onRefused(`${status} ${reason}`);
    return {status, body: {error: reason}};
  }

  transact(body) {
    if (body.length > MAX_CALL_BYTES) return this.refuse(413, 'call over 1 MB');
    const {expectedRevision = [], write = [], remove = []} = JSON.parse(body);
    const entries = [...expectedRevision, ...write, ...remove];
    if (entries.length > MAX_ENTRIES)
      return this.refuse(400, 'over 100 entries');
    if (new Set(entries.map(({part}) => part ?? '')).size > 1)
      return this.refuse(400, 'several parts');
    for (const row of [...write, ...remove]) {
      if (row.table === 'op' || row.table === 'servers')
        return this.refuse(403, `write to ${row.table}`);
    }
    for (const {table, key, value} of write) {
      // The value itself is measured, not its base64 text, which is the
      // reading of the page that allows more.
      const size = Buffer.byteLength(value, 'base64');
      if (size > this.limits.rowBytes)
        return this.refuse(400, `row ${table}/${key}: value of ${size} bytes`);
    }
    const isMet = expectedRevision.every(
      (name) => (this.find(name)?.rowVersion ?? 0) === name.rowVersion,
    );
    if (!isMet) {
      const rows = expectedRevision.map((name) => this.find(name));
      return {status: 412, body: {rows: rows.filter(Boolean), ...this.now()}};
    }
    this.version += 1;
    const rowVersion = this.version;
    for (const {table, part = '', key, value} of write)
      this.apply({table, part, key, value, rowVersion});
    for (const {table, part = '', key} of remove)
      this.apply({table, part, key, deleted: true, rowVersion});
    this.notify();
    return {status: 200, body: this.now()};
  }

  read(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const start = query.get('rangeStart') ?? '';
    const end = query.get('target');
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS);
    const found = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter((row) => row.key >= start && (end === null || row.key < end))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > MAX_PAGE_BYTES))
        break;
      rows.push(row);
    }
    const hasMore = rows.length < found.length;
    return {status: 200, body: {rows, hasMore, ...this.now()}};
  }

  parts(query) {
    const names = new Set();
    for (const {table, part} of this.rows.values())
      if (table === query.get('table')) names.add(part);
    return {status: 200, body: {parts: [...names].sort(), hasMore: false}};
  }

  async feed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const rows = this.history.filter(
        (row) => row.table === table && row.rowVersion > after,
      );
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0)
        return {status: 200, body: {rows, ...this.now()}};
      await this.wait(leftMs);
    }
  }

  object(action, name, body) {
    const known = this.objects.get(name);
    if (action === 'get')
      return known ? {status: 200, body: known} : {status: 404};
    if (action === 'drop') {
      if (known) this.objectBytes -= known.length;
      this.objects.delete(name);
      return {status: 200};
    }
    if (known) return {status: 412};
    if (body.length > this.limits.blobBytes)
      return this.refuse(413, `object ${name}`);
    if (this.objectBytes + body.length > MAX_OBJECT_BYTES)
      return this.refuse(507, `object ${name}: 400 MB are stored`);
    this.objects.set(name, body);
    this.objectBytes += body.length;
    return {status: 200};
  }

  listObjects(query) {
    const prefix = query.get('pathPrefix') ?? '';
    const names = [...this.objects.keys()].filter((n) => n.startsWith(prefix));
    return {status: 200, body: {names: names.sort(), hasMore: false}};
  }

  apply(row) {
    const name = `${row.table}\n${row.part}\n${row.key}`;
    if (row.deleted) this.rows.delete(name);
    else this.rows.set(name, row);
    this.history.push(row);
  }

  find({table, part = '', key}) {
    return this.rows.get(`${table}\n${part}\n${key}`);
  }

  now() {
    return {rowVersion: this.version, nowMs: Math.round(performance.now())};
  }

  wait(ms) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this.waiters.add(finish);
    });
  }

  notify() {
    for (const finish of [...this.waiters]) finish();
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
