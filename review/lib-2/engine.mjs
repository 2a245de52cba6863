// Stand-in of an engine, as a process of its own. A request's path chooses what it does; its body is echoed whole.
import { createServer } from 'node:http';

const { host, port, id, isFull = false } = JSON.parse(process.argv[2]);
const say = (record) => process.stdout.write(`${JSON.stringify({ id, ...record })}\n`);
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
let runs = 0;
/** Set by SIGUSR2 when the engine reports that it is draining. */
let isLeaving = false;
process.on('SIGUSR2', () => {
  isLeaving = true;
});

const server = createServer(async (request, response) => {
  if (request.url === '/healthz') {
    response.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 });
    response.end();
    return;
  }
  const attemptId = request.headers['x-attempt-id'];
  if (request.headers['x-expected-instance'] !== undefined && request.headers['x-expected-instance'] !== id) {
    say({ did: 'answers 421', attemptId });
    response.writeHead(421, { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Content-Length': 0 });
    response.end();
    return;
  }
  for await (const chunk of request) void chunk;
  if (isFull) {
    say({ did: 'is full and refuses', attemptId });
    response.writeHead(503, { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Content-Length': 0 });
    response.end();
    return;
  }
  runs += 1;
  say({ did: 'runs', attemptId, path: request.url, lastEventId: request.headers['last-event-id'] });
  const head = {
    'X-Attempt-Id': attemptId,
    'X-Response-Signature': `${id}.${runs}`,
    ...(isLeaving && { 'Server-Leaving': '1' }),
  };
  const query = new URL(request.url, 'http://engine').searchParams;
  const events = Number(query.get('events') ?? 0);
  const gapMs = Number(query.get('gap') ?? 100);
  // A preempted run pauses in the middle of its stream.
  const pauseAfter = Number(query.get('pause-after') ?? 0);
  const pauseMs = Number(query.get('pause') ?? 0);
  // An answer without a length ends with its connection.
  const framing = query.has('unframed') ? { Connection: 'close' } : {};
  response.once('close', () => say({ did: response.writableFinished ? 'ended' : 'broke off', attemptId }));
  if (query.has('unframed')) response.useChunkedEncodingByDefault = false;
  if (events > 0) {
    response.writeHead(200, { ...head, ...framing, 'Content-Type': 'text/event-stream' });
    const first = 1 + Number(request.headers['last-event-id'] ?? 0);
    for (let event = first; event <= events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${attemptId} ${event}/${events}\n\n`);
      await sleep(event === pauseAfter ? pauseMs : gapMs);
    }
    response.end();
    return;
  }
  const parts = Number(query.get('parts') ?? 1);
  response.writeHead(200, { ...head, ...framing, 'Content-Type': 'text/plain' });
  for (let part = 1; part <= parts && !response.destroyed; part += 1) {
    response.write(`part ${part} of ${parts} for ${attemptId};`.padEnd(400, '.'));
    await sleep(gapMs);
  }
  response.end();
});
server.keepAliveTimeout = 30_000;
// The end of a planned shutdown: no new connections, the answers in progress are finished, then the process exits.
process.on('SIGTERM', () => {
  say({ did: 'stops listening' });
  server.close(() => {
    say({ did: 'exits' });
    process.exit(0);
  });
});
server.listen(port, host, () => say({ did: 'listens', at: `${host}:${port}` }));
