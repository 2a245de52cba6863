// Stand-in of the platform's metadata store: versioned rows, transactions, reads and feeds, as PROTOCOL.md has them.
import { createServer } from 'node:http';

const rowId = (ref) => JSON.stringify([ref['table-name'], ref.part, ref.key]);

export class Store {
  /** Returns the fault of a call: `busy`, `reset`, `silent`, `lost`, `late` (with its delay in ms) or nothing. */
  fault = () => undefined;
  rows = new Map();
  history = [];
  version = 0;
  feeds = new Set();
  server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator or an engine does; undefined removes it. The return is the acknowledgement. */
  put(table, key, value) {
    this.version += 1;
    this.#write({ 'table-name': table, part: '', key }, value === undefined ? undefined : encode(value));
    this.#wakeFeeds();
  }

  #write(ref, value) {
    const row = {
      'table-name': ref['table-name'],
      part: ref.part,
      key: ref.key,
      'row-version': this.version,
    };
    if (value === undefined) {
      this.rows.delete(rowId(ref));
      this.history.push({ ...row, deleted: true });
    } else {
      this.rows.set(rowId(ref), { ...row, value });
      this.history.push({ ...row, value });
    }
  }

  #wakeFeeds() {
    for (const check of [...this.feeds]) {
      check();
    }
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const { kind, delayMs } = this.fault(url.pathname, request) ?? {};
    switch (kind) {
      case 'busy':
        return this.#reply(response, 503, {});
      case 'reset':
        return request.socket.resetAndDestroy();
      case 'silent':
        return undefined;
      case 'lost':
      case 'late':
        // The call is done, at once or later, and its response never arrives.
        if (url.pathname === '/api/rows-tx') {
          const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
          setTimeout(() => this.#transact(undefined, body), delayMs ?? 0);
        }
        return undefined;
    }
    switch (url.pathname) {
      case '/api/rows-tx':
        return this.#transact(response, JSON.parse(Buffer.concat(chunks).toString('utf8')));
      case '/api/rows-get': {
        const from = query.get('source') ?? '';
        const rows = [...this.rows.values()]
          .filter(
            (row) =>
              row['table-name'] === query.get('table-name') &&
              row.part === (query.get('part') ?? '') &&
              Buffer.compare(Buffer.from(row.key), Buffer.from(from)) >= 0,
          )
          .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
        return this.#reply(response, 200, { rows: rows.slice(0, 500), 'has-more': rows.length > 500 });
      }
      case '/api/rows-feed':
        return this.#feed(response, query);
      default:
        return this.#reply(response, 404, {});
    }
  }

  #transact(response, { 'expected-revision': checks, write, remove }) {
    const holds = checks.every(
      (check) => (this.rows.get(rowId(check))?.['row-version'] ?? 0) === check['row-version'],
    );
    if (!holds) {
      const rows = checks.flatMap((check) => this.rows.get(rowId(check)) ?? []);
      this.#reply(response, 412, { rows });
      return;
    }
    this.version += 1;
    for (const row of write) {
      this.#write(row, row.value);
    }
    for (const ref of remove) {
      this.#write(ref, undefined);
    }
    this.#wakeFeeds();
    this.#reply(response, 200, {});
  }

  #feed(response, query) {
    const since = Number(query.get('since-revision'));
    const changed = () =>
      this.history.filter(
        (row) => row['table-name'] === query.get('table-name') && row['row-version'] > since,
      );
    const finish = () => {
      clearTimeout(timer);
      this.feeds.delete(check);
      this.#reply(response, 200, { rows: changed() });
    };
    const check = () => {
      if (changed().length > 0) {
        finish();
      }
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait-ms'))));
    this.feeds.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      this.feeds.delete(check);
    });
    check();
  }

  #reply(response, status, fields) {
    if (response === undefined || response.destroyed || response.writableEnded) {
      return;
    }
    const body = JSON.stringify({
      ...fields,
      'row-version': this.version,
      'now-ms': Math.round(performance.now()),
    });
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}
