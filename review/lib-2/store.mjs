// Stand-in of the platform's store: rows, transactions and change feeds as PROTOCOL.md describes them.
import { createServer } from 'node:http';

const PAGE_ROWS = 500;
const rowId = (table, part, key) => JSON.stringify([table, part, key]);
const byKey = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

export class Store {
  rows = new Map();
  history = [];
  version = 0;
  /** 'ok', 'silent' (no reply, nothing done) or 'busy' (503, nothing done). */
  mode = 'ok';
  waiting = new Set();

  async listen(host) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks).toString('utf8')));
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Writes a row as the operator or an engine does; undefined removes it. */
  put(table, key, fields, part = '') {
    this.version += 1;
    this.apply(table, part, key, fields === undefined ? undefined : encode(JSON.stringify(fields)));
    this.wake();
  }

  apply(table, part, key, value) {
    const row = { 'table-name': table, part, key, 'row-version': this.version };
    if (value === undefined) {
      if (!this.rows.delete(rowId(table, part, key))) return;
      this.history.push({ ...row, deleted: true });
    } else {
      const written = { ...row, value };
      this.rows.set(rowId(table, part, key), written);
      this.history.push(written);
    }
  }

  wake() {
    for (const check of [...this.waiting]) check();
  }

  handle(request, response, body) {
    if (this.mode === 'silent') return;
    if (this.mode === 'busy') return this.reply(response, 503, {});
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (request.method === 'POST' && url.pathname === '/api/rows-tx') {
      return this.transact(response, JSON.parse(body));
    }
    if (url.pathname === '/api/rows-get') return this.get(response, query);
    if (url.pathname === '/api/rows-feed') return this.feed(response, query);
    return this.reply(response, 404, {});
  }

  transact(response, { 'expected-revision': expected = [], write = [], remove = [] }) {
    const find = (ref) => this.rows.get(rowId(ref['table-name'], ref.part, ref.key));
    if (expected.some((ref) => (find(ref)?.['row-version'] ?? 0) !== ref['row-version'])) {
      return this.reply(response, 412, { rows: expected.flatMap((ref) => find(ref) ?? []) });
    }
    this.version += 1;
    for (const ref of write) this.apply(ref['table-name'], ref.part, ref.key, ref.value);
    for (const ref of remove) this.apply(ref['table-name'], ref.part, ref.key, undefined);
    this.reply(response, 200, {});
    this.wake();
  }

  get(response, query) {
    const source = query.get('source') ?? '';
    const rows = [...this.rows.values()]
      .filter((row) => row['table-name'] === query.get('table-name') && row.part === query.get('part'))
      .filter((row) => Buffer.compare(Buffer.from(row.key), Buffer.from(source)) >= 0)
      .sort(byKey);
    this.reply(response, 200, { rows: rows.slice(0, PAGE_ROWS), 'has-more': rows.length > PAGE_ROWS });
  }

  feed(response, query) {
    const since = Number(query.get('since-revision'));
    const changed = () =>
      this.history.filter(
        (row) => row['table-name'] === query.get('table-name') && row['row-version'] > since,
      );
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      if (this.mode !== 'silent') this.reply(response, 200, { rows: changed() });
    };
    const check = () => {
      if (changed().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('wait-ms')));
    this.waiting.add(check);
    check();
  }

  reply(response, status, fields) {
    if (response.writableEnded || response.destroyed) return;
    const text = JSON.stringify({
      ...fields,
      'row-version': this.version,
      'now-ms': Math.round(performance.now()),
    });
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}

function encode(text) {
  return Buffer.from(text, 'utf8').toString('base64');
}
