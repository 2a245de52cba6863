/**
 * Stand-in of the platform's store: rows with versions from one counter, conditional transactions and change feeds, over
 * HTTP/1.1 with JSON bodies. It can be away for a moment and return from a copy.
 */
import { createServer } from 'node:http';

const ANSWER_MS = 4;
const TRANSACTION_MS = 5;
const MAX_PAGE_ROWS = 500;

const idOf = (ref) => JSON.stringify([ref['table-name'], ref.part, ref.key]);

export class Store {
  constructor() {
    this.rows = new Map();
    this.version = 0;
    this.era = 1;
    this.away = false;
    this.feeds = new Set();
    this.startedAtMs = performance.now();
    this.server = createServer((request, response) => {
      this.#handle(request, response);
    });
    this.server.on('connection', (socket) => {
      if (this.away) {
        socket.resetAndDestroy();
      }
    });
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator or a server does. Returns false while the store is away. */
  put(table, key, value) {
    if (this.away) {
      return false;
    }
    this.version += 1;
    this.#set({ 'table-name': table, part: '', key }, Buffer.from(JSON.stringify(value)).toString('base64'));
    this.#wakeFeeds();
    return true;
  }

  value(table, part, key) {
    const row = this.rows.get(idOf({ 'table-name': table, part, key }));
    return row?.value === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  takeCopy() {
    return { rows: new Map(this.rows), version: this.version, takenAtMs: performance.now() };
  }

  /** From now on all connections are reset. */
  leave() {
    this.away = true;
    this.feeds.clear();
    this.server.closeAllConnections();
  }

  /** Comes back from a copy; versions that were given out since are given out again. */
  returnFrom(copy) {
    this.rows = new Map(copy.rows);
    this.version = copy.version;
    this.era += 1;
    this.away = false;
  }

  #set(ref, value) {
    const row = {
      'table-name': ref['table-name'],
      part: ref.part,
      key: ref.key,
      'row-version': this.version,
    };
    this.rows.set(idOf(ref), value === undefined ? { ...row, deleted: true } : { ...row, value });
  }

  #version(ref) {
    const row = this.rows.get(idOf(ref));
    return row === undefined || row.deleted === true ? 0 : row['row-version'];
  }

  #handle(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const call = `${request.method} ${url.pathname}`;
      if (call === 'POST /api/rows-tx') {
        const body = JSON.parse(Buffer.concat(chunks).toString());
        setTimeout(() => this.#transact(response, body), TRANSACTION_MS);
      } else if (call === 'GET /api/rows-get') {
        setTimeout(() => this.#get(response, url.searchParams), ANSWER_MS);
      } else if (call === 'GET /api/rows-feed') {
        setTimeout(() => this.#feed(response, url.searchParams), ANSWER_MS);
      } else {
        this.#answer(response, 404, {});
      }
    });
  }

  #transact(response, { 'expected-revision': checks = [], write: writes = [], remove: removes = [] }) {
    if (this.away) {
      return;
    }
    if ([...writes, ...removes].some((ref) => ['op', 'servers'].includes(ref['table-name']))) {
      this.#answer(response, 403, {});
      return;
    }
    if (checks.some((check) => this.#version(check) !== check['row-version'])) {
      const rows = checks
        .map((check) => this.rows.get(idOf(check)))
        .filter((row) => row?.value !== undefined);
      this.#answer(response, 412, { rows });
      return;
    }
    this.version += 1;
    for (const ref of writes) {
      this.#set(ref, ref.value);
    }
    for (const ref of removes) {
      this.#set(ref, undefined);
    }
    this.#answer(response, 200, {});
    this.#wakeFeeds();
  }

  #get(response, parameters) {
    const table = parameters.get('table-name');
    const part = parameters.get('part') ?? '';
    const source = Buffer.from(parameters.get('source') ?? '');
    const to = parameters.get('to');
    const limit = Math.min(Number(parameters.get('max-items') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
    const rows = [...this.rows.values()]
      .filter((row) => row['table-name'] === table && row.part === part && row.deleted !== true)
      .filter(({ key }) => Buffer.compare(Buffer.from(key), source) >= 0)
      .filter(({ key }) => to === null || Buffer.compare(Buffer.from(key), Buffer.from(to)) < 0)
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    this.#answer(response, 200, { rows: rows.slice(0, limit), 'has-more': rows.length > limit });
  }

  #feed(response, parameters) {
    const table = parameters.get('table-name');
    const since = Number(parameters.get('since-revision'));
    if (since > this.version) {
      this.#answer(response, 410, {});
      return;
    }
    const changed = () =>
      [...this.rows.values()]
        .filter((row) => row['table-name'] === table && row['row-version'] > since)
        .sort((a, b) => a['row-version'] - b['row-version']);
    const finish = () => {
      clearTimeout(timer);
      this.feeds.delete(check);
      this.#answer(response, 200, { rows: changed() });
    };
    const check = () => {
      if (changed().length > 0) {
        finish();
      }
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(parameters.get('wait-ms') ?? 0)));
    this.feeds.add(check);
    check();
  }

  #wakeFeeds() {
    for (const check of [...this.feeds]) {
      check();
    }
  }

  #answer(response, status, fields) {
    if (this.away || response.destroyed) {
      return;
    }
    const nowMs = Math.round(performance.now() - this.startedAtMs);
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(this.era) });
    response.end(JSON.stringify({ ...fields, 'row-version': this.version, 'now-ms': nowMs }));
  }
}
