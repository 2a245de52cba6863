import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { after, test } from 'node:test';
import type { RequestEvent, UpstreamRequest } from '../../requests/ports.ts';
import { RequestEventKind, RetryAfterKind } from '../../requests/ports.ts';
import type { UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import { UpstreamConnections } from '../upstreamConnections.ts';
import type { WireCodec } from '../wireCodec.ts';

const codec: WireCodec = {
  decodeRequest: () => assert.fail('not used'),
  encodeUpstreamRequest: () => [],
  decodeUpstreamHead: (_request, status, rawHeaders) => ({
    status,
    notExecuted: false,
    wrongUpstream: false,
    matchesRequest: true,
    belongsToOtherRequest: false,
    upstreamLeaving: false,
    retryAfter: { kind: RetryAfterKind.Absent },
    signed: true,
    forwardHeaders: rawHeaders,
  }),
  encodeLocalReply: () => assert.fail('not used'),
};

const request: UpstreamRequest = {
  head: {
    requestId: 'request-1',
    method: 'GET',
    target: '/',
    host: 'example',
    deadlineMs: undefined,
    key: undefined,
    usage: undefined,
    promptParts: [],
    lastEventId: undefined,
    forwardHeaders: [],
  },
  body: Buffer.alloc(0),
  remainingMs: 1_000,
  organisationName: undefined,
  priority: undefined,
  lastEventId: undefined,
};

const servers: Server[] = [];
after(() => {
  for (const server of servers) {
    server.close();
  }
});

/** Starts a TCP server that calls `onRequest` for each connection once data has arrived. */
async function startUpstream(onRequest: (socket: Socket) => void): Promise<UpstreamEntry> {
  const server = createServer((socket) => {
    socket.once('data', () => {
      onRequest(socket);
    });
    socket.on('error', () => undefined);
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    upstreamId: `upstream-${port}`,
    serviceName: 'orders',
    address: `127.0.0.1:${port}`,
    availabilityZone: 'a',
    state: UpstreamState.Ready,
    slots: 1,
    warmupLeftMs: 0,
    startTimeMs: undefined,
    sequence: undefined,
  };
}

function createConnections(): UpstreamConnections {
  return new UpstreamConnections(codec, {
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    idleMarginMs: 100,
    connectionLimit: () => 1,
  });
}

/** Sends one request and returns all its events. */
async function exchange(upstream: UpstreamEntry, body = request.body): Promise<RequestEvent[]> {
  const connections = createConnections();
  const events: RequestEvent[] = [];
  await new Promise<void>((resolve) => {
    connections.open(upstream, { ...request, body }, 1, (event) => {
      events.push(event);
      if (event.kind === RequestEventKind.UpstreamEnd || event.kind === RequestEventKind.UpstreamFailed) {
        resolve();
      }
    });
  });
  connections.removeUpstream(upstream.upstreamId);
  return events;
}

const CLOSE_DELIMITED_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('a close-delimited response that ends with a reset is reported as failed', async () => {
  const upstream = await startUpstream((socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}half of the ans`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  const events = await exchange(upstream);
  assert.equal(events.at(-1)?.kind, RequestEventKind.UpstreamFailed);
});

test('a close-delimited response whose data and reset arrive together is reported as failed', async () => {
  const upstream = await startUpstream((socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}half of the ans`);
    socket.resetAndDestroy();
  });
  const events = await exchange(upstream);
  assert.equal(events.at(-1)?.kind, RequestEventKind.UpstreamFailed);
});

test('a close-delimited response that ends with an orderly close is complete', async () => {
  const upstream = await startUpstream((socket) => {
    socket.end(`${CLOSE_DELIMITED_HEAD}the whole answer`);
  });
  const events = await exchange(upstream);
  assert.equal(events.at(-1)?.kind, RequestEventKind.UpstreamEnd);
});

test('a refused connection is reported as failed without a sent event', async () => {
  const upstream = await startUpstream(() => undefined);
  servers.at(-1)?.close();
  const events = await exchange(upstream);
  assert.deepEqual(
    events.map(({ kind }) => kind),
    [RequestEventKind.UpstreamFailed],
  );
});

test('a cancelled call closes its connection and does not open another', async () => {
  const upstream = await startUpstream(() => undefined);
  const server = servers.at(-1);
  const sockets: Socket[] = [];
  server?.on('connection', (socket) => sockets.push(socket));
  const connections = createConnections();
  const call = connections.open(upstream, request, 1, () => undefined);
  while ((sockets[0]?.bytesRead ?? 0) === 0) {
    await new Promise(setImmediate);
  }
  const closed = once(sockets[0] ?? assert.fail('no connection'), 'close');
  call.cancel();
  await closed;
  // A connection that undici opens after the close is accepted before this one.
  const probe = connect(Number(upstream.address.split(':')[1]), '127.0.0.1');
  await once(probe, 'connect');
  probe.destroy();
  while (sockets.length < 2) {
    await new Promise(setImmediate);
  }
  assert.equal(sockets.length, 2);
  connections.removeUpstream(upstream.upstreamId);
});

test('only a response whose connection alone shows its end is reported as ending with it', async () => {
  const endsWithConnection = async (response: string): Promise<boolean | undefined> => {
    const upstream = await startUpstream((socket) => {
      socket.end(response);
    });
    const end = (await exchange(upstream)).find(({ kind }) => kind === RequestEventKind.UpstreamEnd);
    return end?.kind === RequestEventKind.UpstreamEnd ? end.endsWithConnection : undefined;
  };
  assert.equal(await endsWithConnection(`${CLOSE_DELIMITED_HEAD}answer`), true);
  assert.equal(await endsWithConnection('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer'), false);
  const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n';
  assert.equal(await endsWithConnection(chunked), false);
  // No body: asking whether the upstream still listens would cost a connection for nothing.
  assert.equal(await endsWithConnection('HTTP/1.1 204 No Content\r\n\r\n'), false);
});

/** More than the socket buffers hold, so that the upload is still being written when the response arrives. */
const LONG_UPLOAD_BYTES = 4_000_000;

for (const delayMs of [0, 5, 50]) {
  test(`part of a response that is reset after ${delayMs} ms during a long upload is not a complete response`, async () => {
    const upstream = await startUpstream((socket) => {
      socket.pause();
      socket.write(`${CLOSE_DELIMITED_HEAD}half of the ans`);
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
    const events = await exchange(upstream, Buffer.alloc(LONG_UPLOAD_BYTES));
    assert.equal(events.at(-1)?.kind, RequestEventKind.UpstreamFailed);
  });
}

test('a response that is closed with a part of the upload unread is not complete', async () => {
  const upstream = await startUpstream((socket) => {
    socket.pause();
    socket.write(`${CLOSE_DELIMITED_HEAD}half of the ans`, () => socket.destroy());
  });
  const events = await exchange(upstream, Buffer.alloc(LONG_UPLOAD_BYTES));
  assert.equal(events.at(-1)?.kind, RequestEventKind.UpstreamFailed);
});

for (const status of ['000', '099', '600', '999']) {
  test(`a response with the invalid status ${status} is reported as failed, not as a response`, async () => {
    for (const framing of [
      'Content-Length: 6\r\n',
      'Connection: close\r\n',
      'Transfer-Encoding: chunked\r\n',
    ]) {
      const upstream = await startUpstream((socket) => {
        socket.end(`HTTP/1.1 ${status} Trouble\r\n${framing}\r\n6\r\nanswer\r\n0\r\n\r\n`);
      });
      assert.deepEqual(
        (await exchange(upstream)).map(({ kind }) => kind),
        [RequestEventKind.UpstreamSent, RequestEventKind.UpstreamFailed],
      );
    }
  });
}
