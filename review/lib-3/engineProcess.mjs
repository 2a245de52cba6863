/**
 * A model engine as a process of its own. Its streams have no length: they end with their connection. It is sound: it sends
 * one event after the other, and closes a connection once the stream is complete. Prints `listening PORT` once it listens.
 * From a SIGUSR2 on it says in its answers that it leaves. At a SIGTERM it stops listening and closes its idle connections, finishes its streams and then ends.
 *
 * Arguments: ID HOST PORT EVENTS GAP_MS
 */
import { createServer } from 'node:net';

const [id, host, port, eventCount, gapMs] = process.argv.slice(2);
const IDLE_MS = 15_000;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Connections, with whether a request is served on them. */
const connections = new Map();
let isStopping = false;
let isLeaving = false;

const server = createServer((socket) => {
  let received = '';
  connections.set(socket, false);
  socket.once('close', () => {
    connections.delete(socket);
    if (isStopping && connections.size === 0) {
      process.exit(0);
    }
  });
  socket.setTimeout(IDLE_MS, () => socket.end());
  socket.on('error', () => socket.destroy());
  socket.on('data', (data) => {
    received += data.toString('latin1');
    const end = received.indexOf('\r\n\r\n');
    if (end < 0) {
      return;
    }
    const [requestLine, ...lines] = received.slice(0, end).split('\r\n');
    const headers = new Map(
      lines.map((line) => [line.split(':')[0].toLowerCase(), line.replace(/^[^:]*:\s*/, '')]),
    );
    const length = Number(headers.get('content-length') ?? 0);
    if (received.length < end + 4 + length) {
      return;
    }
    received = received.slice(end + 4 + length);
    connections.set(socket, true);
    void serve(socket, requestLine.split(' ')[1], headers);
  });
});

process.on('SIGUSR2', () => {
  isLeaving = true;
});

process.on('SIGTERM', () => {
  isStopping = true;
  server.close();
  console.log('stops listening');
  for (const [socket, isBusy] of connections) {
    if (!isBusy) {
      socket.end();
    }
  }
});

async function serve(socket, path, headers) {
  if (path.startsWith('/api/kv-events')) {
    await sleep(Math.min(1_000, Number(headers.get('wait-ms') ?? 0)));
    answer(socket, '200 OK', '{"epoch":1,"next":0,"lost":false,"events":[]}');
    return;
  }
  if (path === '/healthz') {
    answer(socket, '200 OK', '', [`X-Instance-Id: ${id}`]);
    return;
  }
  if ((headers.get('x-expected-instance') ?? id) !== id) {
    answer(socket, '421 Misdirected Request', '', [`X-Instance-Id: ${id}`]);
    return;
  }
  const attempt = headers.get('x-attempt-id');
  console.log(`run ${attempt}`);
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Signature: ${id}.${attempt}\r\n` +
      `Content-Type: text/event-stream\r\nConnection: close\r\n${isLeaving ? 'Server-Leaving: 1\r\n' : ''}\r\n`,
  );
  for (let number = 1; number <= Number(eventCount) && !socket.destroyed; number += 1) {
    await sleep(Number(gapMs));
    socket.write(`id: ${number}\ndata: ${attempt}\n\n`);
  }
  console.log(`done ${attempt}`);
  socket.end();
}

function answer(socket, status, body, headers = []) {
  const lines = [
    `HTTP/1.1 ${status}`,
    ...headers,
    ...(isLeaving ? ['Server-Leaving: 1'] : []),
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  connections.set(socket, false);
  if (isStopping) {
    socket.end();
  }
}

server.listen(Number(port), host, () => console.log(`listening ${server.address().port}`));
