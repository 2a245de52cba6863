import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { after, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import { MemoryUse } from '../../memory/memoryAccount.ts';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { CallerServer } from '../callerServer.ts';
import { testCodec } from './testCodec.ts';

/** Ends a test whose condition is never met. */
const WAIT_LIMIT_MS = 10_000;
/** Time within which bytes that are read or requests that are executed would show. */
const QUIET_MS = 200;
const MAX_BODY_BYTES = 400_000;
const REQUEST = 'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n';
/** More than the socket buffers of both ends hold. */
const LARGE_RESPONSE_BYTES = 32_000_000;
/** Largest charge that an idle connection leaves. */
const MAX_IDLE_BYTES = 4_096;

const rig = new RequestRig({ timeoutMs: 1_000_000, maxAttempts: 1 });
const { board, options } = rig.context;
const { configuration } = board;
assert.ok(configuration !== undefined);
board.configuration = {
  ...configuration,
  limits: { ...configuration.limits, maxBodyBytes: MAX_BODY_BYTES },
};
const callers = new CallerServer(rig.context, testCodec);
const serverSockets: Socket[] = [];
callers.server.on('connection', (socket) => serverSockets.push(socket));
await new Promise<void>((resolve) => callers.server.listen(0, '127.0.0.1', resolve));
const { port } = callers.server.address() as AddressInfo;
after(() => {
  callers.server.closeAllConnections();
  callers.server.close();
});

interface TestCaller {
  readonly socket: Socket;
  readonly serverSocket: Socket;
  received: string;
  closed: boolean;
}

async function openConnection(): Promise<TestCaller> {
  const accepted = once(callers.server, 'connection') as Promise<[Socket]>;
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  const [serverSocket] = await accepted;
  const caller: TestCaller = { socket, serverSocket, received: '', closed: false };
  socket.on('data', (data: Buffer) => {
    caller.received += data.toString('latin1');
  });
  socket.once('close', () => {
    caller.closed = true;
  });
  return caller;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const startedAtMs = performance.now();
  while (!condition()) {
    assert.ok(performance.now() - startedAtMs < WAIT_LIMIT_MS, 'the condition was not met in time');
    await sleep(1);
  }
}

function answer(index: number, body: string): void {
  const call = rig.calls[index];
  assert.ok(call !== undefined);
  call.sent();
  call.head({ forwardHeaders: ['Content-Length', String(body.length)] }, body.length);
  call.data(body);
  call.end();
}

test('a caller that pipelines without a bound is read no further than a few requests ahead', async () => {
  const callsBefore = rig.calls.length;
  const caller = await openConnection();
  const sentBytes = REQUEST.length * 100_000;
  caller.socket.write(REQUEST.repeat(100_000));
  await waitUntil(() => rig.calls.length === callsBefore + options.memory.maxPipelinedRequests);
  await sleep(QUIET_MS);
  assert.equal(rig.calls.length, callsBefore + options.memory.maxPipelinedRequests);
  // Two reads of the socket: a pause takes effect after the read in which it is requested.
  assert.ok(
    caller.serverSocket.bytesRead <= 131_072,
    `${caller.serverSocket.bytesRead} of ${sentBytes} bytes`,
  );
  for (let index = 0; index < 40; index += 1) {
    await waitUntil(() => rig.calls.length > callsBefore + index);
    answer(callsBefore + index, `answer-${index}.`);
  }
  await waitUntil(() => caller.received.includes('answer-39.'));
  const answers = [...caller.received.matchAll(/answer-(\d+)\./g)].map(([, number]) => Number(number));
  assert.deepEqual(
    answers,
    Array.from({ length: 40 }, (_, index) => index),
  );
  // A socket that is not read does not show the close of its caller; the next response would.
  caller.serverSocket.destroy();
});

test('pipelined requests with large responses arrive whole and in order (Node pauses its parser meanwhile)', async () => {
  const callsBefore = rig.calls.length;
  const caller = await openConnection();
  const count = 30;
  caller.socket.write(REQUEST.repeat(count));
  for (let index = 0; index < count; index += 1) {
    await waitUntil(() => rig.calls.length > callsBefore + index);
    answer(callsBefore + index, `<${String.fromCharCode(97 + (index % 26)).repeat(60_000)}>`);
  }
  await waitUntil(() => caller.received.split('>').length === count + 1);
  assert.equal(caller.received.split('HTTP/1.1 200').length, count + 1);
  assert.ok(!caller.received.includes('HTTP/1.1 400'));
  caller.socket.destroy();
});

/** Encodes a request with a body, of known length or in chunks. */
function encodeRequest({ body, chunkBytes }: { body: string; chunkBytes: number }): string {
  const head = 'POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\n';
  if (chunkBytes === 0) {
    return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const chunks = body.match(new RegExp(`[^]{1,${chunkBytes}}`, 'g')) ?? [];
  const encoded = chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
  return `${head}Transfer-Encoding: chunked\r\n\r\n${encoded}0\r\n\r\n`;
}

test('requests arrive unchanged and in order however their bytes are divided, with blank lines in their bodies', async () => {
  const request = fc.record({
    body: fc
      .array(fc.constantFrom('\r\n', '\n\n', 'GET / HTTP/1.1\r\n\r\n', 'x', 'y'.repeat(3_000)), {
        maxLength: 30,
      })
      .map((parts) => parts.join('')),
    chunkBytes: fc.constantFrom(0, 1, 7, 5_000),
  });
  const cuts = fc.array(fc.integer({ min: 1, max: 3_000 }), { minLength: 1, maxLength: 20 });
  await fc.assert(
    fc.asyncProperty(fc.array(request, { minLength: 1, maxLength: 6 }), cuts, async (requests, lengths) => {
      const callsBefore = rig.calls.length;
      const caller = await openConnection();
      caller.socket.setNoDelay();
      let rest = requests.map(encodeRequest).join('');
      for (let cut = 0; rest.length > 0; cut += 1) {
        const length = cut < lengths.length ? (lengths[cut] ?? 1) : rest.length;
        caller.socket.write(rest.slice(0, length));
        rest = rest.slice(length);
        await new Promise(setImmediate);
      }
      await waitUntil(() => rig.calls.length === callsBefore + requests.length);
      const bodies = rig.calls.slice(callsBefore).map((call) => call.request.body.toString());
      assert.deepEqual(
        bodies,
        requests.map(({ body }) => body),
      );
      caller.socket.destroy();
      await waitUntil(() => caller.serverSocket.destroyed);
    }),
    { seed: 1, numRuns: 60 },
  );
});

test('all bytes of a connection are returned to the account when it closes', async () => {
  await waitUntil(() => serverSockets.every(({ destroyed }) => destroyed));
  await sleep(QUIET_MS);
  assert.equal(board.memory.allocatedBytes, 0);
});

test('a body that stops for 12 s is served, and one that stops for longer is refused with 408 and never executed', async () => {
  const callsBefore = rig.calls.length;
  const caller = await openConnection();
  caller.socket.write('POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 100000\r\n\r\n');
  caller.socket.write('x'.repeat(50_000));
  await waitUntil(() => caller.serverSocket.bytesRead > 50_000);
  await sleep(QUIET_MS);
  rig.advance(12_000);
  caller.socket.write('x'.repeat(49_000));
  await waitUntil(() => caller.serverSocket.bytesRead > 99_000);
  await sleep(QUIET_MS);
  assert.equal(caller.received, '');
  rig.advance(options.memory.bodyStallMs + 3_000);
  await waitUntil(() => caller.closed);
  assert.match(caller.received, /^HTTP\/1\.1 408 Request Timeout\r\nConnection: close\r\n/);
  caller.socket.write('x'.repeat(1_000));
  await sleep(QUIET_MS);
  assert.equal(rig.calls.length, callsBefore);
  assert.equal(board.memory.bytesOf(MemoryUse.Reading), 0);
});

test('a stall of this process does not count against a body', async () => {
  const callsBefore = rig.calls.length;
  const caller = await openConnection();
  caller.socket.write('POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 50000\r\n\r\n');
  caller.socket.write('x'.repeat(40_000));
  await waitUntil(() => caller.serverSocket.bytesRead > 40_000);
  await sleep(QUIET_MS);
  rig.stall(options.memory.bodyStallMs + 10_000);
  caller.socket.write('x'.repeat(10_000));
  await waitUntil(() => rig.calls.length === callsBefore + 1);
  caller.socket.destroy();
});

test('a response that its caller does not read is closed in the end, and not while the caller reads slowly', async () => {
  const callsBefore = rig.calls.length;
  const caller = await openConnection();
  caller.socket.pause();
  caller.socket.write(REQUEST);
  await waitUntil(() => rig.calls.length > callsBefore);
  answer(callsBefore, 'x'.repeat(LARGE_RESPONSE_BYTES));
  await waitUntil(() => caller.serverSocket.writableLength > 0);
  for (let pause = 0; pause < 4; pause += 1) {
    rig.advance(12_000);
    const receivedBefore = caller.received.length;
    caller.socket.resume();
    await waitUntil(() => caller.received.length > receivedBefore + 4_000_000);
    caller.socket.pause();
    await sleep(QUIET_MS);
  }
  assert.ok(!caller.serverSocket.destroyed);
  rig.advance(options.memory.responseStallMs + 3_000);
  await waitUntil(() => caller.serverSocket.destroyed);
  caller.socket.destroy();
  await sleep(QUIET_MS);
  assert.ok(board.memory.allocatedBytes <= MAX_IDLE_BYTES);
});
