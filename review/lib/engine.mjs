// Stand-in of an engine, as a process of its own. Serves event streams below /stream/ and plain answers elsewhere, and
// tells its parent what arrived, what it ran and what it finished.
import { createServer } from 'node:http';

const { id, host, port = 0, slots, events, gapMs, unframedEvery, workMs = 20 } = JSON.parse(process.argv[2]);
let leaving = false;
let active = 0;
let streamCount = 0;
const waiting = [];

const tell = (kind, request, more = {}) =>
  process.send?.({ kind, request, engine: id, atMs: performance.timeOrigin + performance.now(), ...more });

const server = createServer((request, response) => {
  const attempt = String(request.headers['x-attempt-id'] ?? '');
  request.resume();
  request.on('end', () => {
    if (request.url.startsWith('/api/kv-events')) {
      setTimeout(
        () => json(response, 200, { epoch: 'e', next: 0, lost: false, events: [] }),
        Number(request.headers['wait-ms'] ?? 0),
      );
      return;
    }
    if (request.url.startsWith('/api/report')) {
      json(response, 200, {
        phase: 'colocated',
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
      });
      return;
    }
    tell('arrived', attempt, { deadlineMs: Number(request.headers['x-deadline-ms']) });
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      refuse(response, attempt, 421);
      return;
    }
    if (active >= slots) {
      waiting.push(() => run(request, response, attempt));
      return;
    }
    run(request, response, attempt);
  });
});

function run(request, response, attempt) {
  if (response.destroyed) {
    next();
    return;
  }
  active += 1;
  const isStream = request.url.includes('/stream/');
  streamCount += isStream ? 1 : 0;
  const unframed = isStream && unframedEvery !== undefined && streamCount % unframedEvery === 0;
  tell('ran', attempt, { unframed });
  let done = false;
  response.on('close', () => {
    active -= 1;
    if (!done) {
      tell('dropped', attempt);
    }
    next();
  });
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  const head = {
    'X-Attempt-Id': attempt,
    'X-Response-Signature': `${id}.${attempt}`,
    ...(leaving ? { 'Server-Leaving': '1' } : {}),
  };
  if (!isStream) {
    setTimeout(() => {
      done = true;
      tell('finished', attempt);
      const body = `${attempt}:`.repeat(40);
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(body) });
      response.end(body);
    }, workMs);
    return;
  }
  if (unframed) {
    // No length and no chunks: the answer ends with its connection.
    response.removeHeader('transfer-encoding');
    response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = false;
  }
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  let piece = first;
  const step = () => {
    if (response.destroyed) {
      return;
    }
    if (piece > events) {
      done = true;
      tell('finished', attempt);
      response.end();
      return;
    }
    response.write(`id: ${piece}\ndata: ${attempt} ${piece}\n\n`);
    piece += 1;
    setTimeout(step, gapMs);
  };
  setTimeout(step, 30);
}

function next() {
  if (active < slots) {
    waiting.shift()?.();
  }
}

function refuse(response, attempt, status) {
  response.writeHead(status, { 'X-Attempt-Id': attempt, 'X-Not-Executed': '1', 'Content-Length': 0 });
  response.end();
}

function json(response, status, fields) {
  if (!response.destroyed) {
    const body = JSON.stringify(fields);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

process.on('message', (message) => {
  if (message === 'leave') {
    leaving = true;
  }
});
process.on('disconnect', () => process.exit(0));
server.keepAliveTimeout = 5_000;
server.listen(port, host, () => process.send?.({ kind: 'listening', port: server.address().port }));
