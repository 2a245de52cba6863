import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { CallerRequestKind, EventKind } from '@pimentostall/core';
import fc from 'fast-check';
import { RecordingSink } from '../../__tests__/fakes.ts';
import { splitAddress } from '../../addresses.ts';
import type { ShellOptions } from '../../options.ts';
import { DEFAULT_SHELL_OPTIONS } from '../../options.ts';
import { CallerServer } from '../callerServer.ts';
import { parseCallerRequest } from '../parseCallerRequest.ts';

const CHAT = { model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true };

async function startServer(context: TestContext, options: Partial<ShellOptions> = {}) {
  const sink = new RecordingSink();
  const server = new CallerServer(sink, { ...DEFAULT_SHELL_OPTIONS, closeGraceMs: 2_000, ...options });
  context.after(() => server.close().catch(() => undefined));
  return { sink, server, address: await server.listen('127.0.0.1:0') };
}

/** Sends raw bytes and collects the response until the server closes the connection. */
function sendRaw(address: string, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address), () => socket.write(bytes));
    let response = '';
    socket.on('data', (part) => {
      response += part.toString();
    });
    socket.on('close', () => {
      resolve(response);
    });
    socket.on('error', reject);
  });
}

test('a request reaches the core without its key, and the response is streamed back', async (context) => {
  const { sink, server, address } = await startServer(context);
  const response = fetch(`http://${address}/v1/chat/completions?hop=1`, {
    method: 'POST',
    headers: { Authorization: 'Bearer secret', 'Idempotency-Key': 'k-1' },
    body: JSON.stringify(CHAT),
  });
  const arrived = await sink.next(EventKind.CallerArrived);
  assert.equal(arrived.request.kind, CallerRequestKind.ChatCompletion);
  assert.equal(arrived.metadata.idempotencyKey, 'k-1');
  assert.equal(arrived.metadata.redirected, true);
  assert.ok(!JSON.stringify(arrived).includes('secret'));
  const exchange = server.findExchange(arrived.exchangeId);
  exchange?.start(200, { 'Content-Type': 'text/event-stream' });
  exchange?.write('data: 1\n\n');
  exchange?.end('data: [DONE]\n\n');
  assert.equal(await (await response).text(), 'data: 1\n\ndata: [DONE]\n\n');
});

test('malformed requests get a problem that names the invalid field and the verdict did-not-run', async (context) => {
  const { sink, address } = await startServer(context, { maxBodyBytes: 100 });
  const post = (path: string, body: string, headers: Record<string, string> = {}): Promise<Response> =>
    fetch(`http://${address}${path}`, { method: 'POST', body, headers });
  const chat = '/v1/chat/completions';
  const cases: [Promise<Response>, number, string][] = [
    [post(chat, '{'), 400, 'valid JSON'],
    [post(chat, '{"model":"m","messages":[{"role":"u"}]}'), 400, 'messages[0].content'],
    [post(chat, 'x'.repeat(200)), 413, '100 bytes'],
    [post(chat, '{}', { 'Idempotency-Key': 'a/b' }), 400, 'Idempotency-Key'],
    [post('/v1/services/orders/a%2Fb', ''), 400, 'dot segments'],
    [post('/v1/nothing', ''), 404, 'route'],
    [post('/v1/health', ''), 405, 'GET'],
  ];
  for (const [pending, status, place] of cases) {
    const response = await pending;
    const problem = (await response.json()) as { verdict: string; detail: string };
    assert.equal(response.status, status);
    assert.equal(problem.verdict, 'did-not-run');
    assert.ok(problem.detail.includes(place), `${problem.detail} names ${place}`);
  }
  assert.deepEqual(sink.events, []);
});

// Guards against a call of one operation that is matched as another, such as an order as a lookup.
test('a path that a service may resolve differently is rejected', () => {
  for (const path of ['/a/../b', '/a/%2e%2E/b', '/a/.%2e', '/./b', '/a%2fb', '/a%5Cb', '/a\\b']) {
    const target = `/v1/services/orders${path}`;
    const parsed = parseCallerRequest({ method: 'GET', target, headers: { host: 'x' }, body: '' });
    assert.ok(parsed.isErr(), path);
  }
});

test('bytes that are not HTTP and oversized headers get problem details', async (context) => {
  const { address } = await startServer(context);
  assert.match(await sendRaw(address, 'nonsense\r\n\r\n'), /^HTTP\/1\.1 400 .*did-not-run/s);
  const close = 'Connection: close\r\n\r\n';
  assert.match(
    await sendRaw(address, `GET /v1/health HTTP/1.1\r\n${close}`),
    / 400 .*Missing Host.*did-not-run/s,
  );
  const expecting = `GET /v1/health HTTP/1.1\r\nHost: x\r\nExpect: y\r\n${close}`;
  assert.match(await sendRaw(address, expecting), / 417 .*did-not-run/s);
  const header = `X: ${'x'.repeat(20_000)}`;
  assert.match(
    await sendRaw(address, `GET / HTTP/1.1\r\n${header}\r\n\r\n`),
    /^HTTP\/1\.1 431 .*did-not-run/s,
  );
});

// Guards against unbounded buffers for slow callers.
test('a caller that does not read gets backpressure, then is disconnected and reported as gone', async (context) => {
  const { sink, server, address } = await startServer(context);
  const socket = connect(splitAddress(address), () => {
    socket.pause();
    socket.write('GET /v1/entry HTTP/1.1\r\nHost: x\r\n\r\n');
  });
  const { exchangeId } = await sink.next(EventKind.CallerArrived);
  const exchange = server.findExchange(exchangeId);
  assert.ok(exchange !== undefined);
  exchange.start(200, { 'Content-Type': 'text/event-stream' });
  exchange.write('x'.repeat(900_000));
  let writable = false;
  void exchange.waitUntilWritable().then(() => {
    writable = true;
  });
  await Promise.resolve();
  assert.equal(writable, false);
  // Above `maxUnsentBytes` the server closes the connection itself.
  for (let count = 0; count < 64 && server.findExchange(exchangeId) !== undefined; count += 1) {
    exchange.write('x'.repeat(900_000));
    await new Promise((resolve) => setImmediate(resolve));
  }
  await sink.next(EventKind.CallerGone);
  assert.equal(server.findExchange(exchangeId), undefined);
  socket.destroy();
});

// Guards against responses that are truncated by a shutdown.
test('an open response is completed while the server closes', async (context) => {
  const { sink, server, address } = await startServer(context);
  const response = fetch(`http://${address}/v1/entry`);
  const { exchangeId } = await sink.next(EventKind.CallerArrived);
  const sizeBytes = 8_000_000;
  server.findExchange(exchangeId)?.start(200, { 'Content-Type': 'text/plain' });
  server.findExchange(exchangeId)?.end('x'.repeat(sizeBytes));
  const closed = server.close();
  assert.equal((await (await response).text()).length, sizeBytes);
  await closed;
});

test('a problem after the start of a stream ends it with an error event', async (context) => {
  const { sink, server, address } = await startServer(context);
  const response = fetch(`http://${address}/v1/entry`);
  const { exchangeId } = await sink.next(EventKind.CallerArrived);
  const exchange = server.findExchange(exchangeId);
  exchange?.start(200, { 'Content-Type': 'text/event-stream' });
  const parsed = parseCallerRequest({ method: 'GET', target: '/x', headers: { host: 'x' }, body: '' });
  exchange?.endWithProblem(parsed._unsafeUnwrapErr());
  assert.match(await (await response).text(), /^event: error\ndata: \{.*"did-not-run".*\}\n\n$/);
});

test('no caller request crashes the parser, and each rejection says what to do', () => {
  const chatBody = fc.oneof(
    fc.string(),
    fc.json(),
    fc.record({ model: fc.anything(), messages: fc.anything(), stream: fc.anything() }).map((value) => {
      try {
        return JSON.stringify(value);
      } catch {
        return '';
      }
    }),
  );
  const target = fc.oneof(
    fc.constant('/v1/chat/completions'),
    fc.string({ unit: 'binary' }),
    fc.webPath().map((path) => `/v1/services/orders${path}`),
  );
  const method = fc.constantFrom('GET', 'POST', 'PUT', 'TRACE', '');
  const headers = fc.record({
    host: fc.constant('x'),
    authorization: fc.string(),
    'idempotency-key': fc.string(),
  });
  fc.assert(
    fc.property(method, target, headers, chatBody, (m, t, h, body) => {
      const result = parseCallerRequest({ method: m, target: t, headers: h, body });
      if (result.isErr()) {
        assert.equal(result.error.verdict, 'did-not-run');
        assert.ok(result.error.detail.length > 10);
        assert.ok(result.error.status >= 400 && result.error.status < 500);
      }
    }),
    { seed: 3, numRuns: 500 },
  );
});
