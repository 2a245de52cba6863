import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { ClockReading, UpstreamRequest } from '@pimentostall/core';
import { EffectKind, EventKind, UpstreamRequestKind } from '@pimentostall/core';
import { unusedAddress, RecordingSink, startFakeServer, startFakeTcpServer } from '../../__tests__/fakes.ts';
import { DEFAULT_SHELL_OPTIONS } from '../../options.ts';
import { UpstreamAdapter } from '../upstreamAdapter.ts';

const CLOCK: ClockReading = { monotonicMs: 0, wallMs: 0 };
const CALL: UpstreamRequest = {
  kind: UpstreamRequestKind.ServiceCall,
  requestId: 'r1',
  method: 'POST',
  path: '/orders',
  body: '{}',
  contentType: 'application/json',
};
const START: UpstreamRequest = {
  kind: UpstreamRequestKind.EngineStart,
  requestId: 'r1',
  model: 'm',
  messages: [],
  maxOutputTokens: 8,
  priority: 1,
};
const FINISH = { reason: 'stop', promptTokens: 3, cachedPromptTokens: 0, outputTokens: 2 };

function createAdapter(
  context: TestContext,
  readClock = () => CLOCK,
  waitForCaller = (): Promise<void> => Promise.resolve(),
) {
  const sink = new RecordingSink();
  const adapter = new UpstreamAdapter({
    sink,
    options: DEFAULT_SHELL_OPTIONS,
    readClock,
    pauseLimitMs: 2_000,
    resolveAddress: (address) => address,
    waitForCaller,
  });
  context.after(() => adapter.close());
  const open = (address: string, request: UpstreamRequest): void => {
    const fields = { attemptId: 'a1', exchangeId: 'e1', deadlineMs: 60_000 };
    adapter.open({ kind: EffectKind.UpstreamOpen, address, request, ...fields }, CLOCK);
  };
  return { sink, adapter, open };
}

function writeChunk(response: ServerResponse, index: number, finish?: typeof FINISH): void {
  response.write(`data: ${JSON.stringify({ index, text: `t${index}`, finish })}\n\n`);
}

// Guards against a request that is reported as possibly run although it never left the router.
test('a refused connection reports that no bytes were sent', async (context) => {
  const { sink, open } = createAdapter(context);
  open(await unusedAddress(), CALL);
  assert.equal((await sink.next(EventKind.UpstreamFailed)).mayHaveReachedUpstream, false);
});

// Guards against a request that is reported as not run although the upstream may have run it.
test('a connection that closes without a response reports that bytes were sent', async (context) => {
  const address = await startFakeTcpServer(context, (socket) => {
    socket.once('data', () => socket.destroy());
  });
  const { sink, open } = createAdapter(context);
  open(address, CALL);
  assert.equal((await sink.next(EventKind.UpstreamFailed)).mayHaveReachedUpstream, true);
});

// Guards against an operation that is run twice.
test('a request on a reused connection that breaks is not retried and reports that bytes were sent', async (context) => {
  let requests = 0;
  const address = await startFakeServer(context, (request, response) => {
    requests += 1;
    if (requests === 1) {
      response.end('{}');
    } else {
      request.socket.destroy();
    }
  });
  const { sink, open } = createAdapter(context);
  open(address, CALL);
  assert.equal((await sink.next(EventKind.UpstreamEnded)).body, '{}');
  open(address, CALL);
  assert.equal((await sink.next(EventKind.UpstreamFailed)).mayHaveReachedUpstream, true);
  assert.equal(requests, 2);
});

// Guards against a router that spends a share that was reclaimed during the pause.
test('nothing is sent after a pause between the step and the write', async (context) => {
  let requests = 0;
  const address = await startFakeServer(context, (_request, response) => {
    requests += 1;
    response.end();
  });
  const { sink, open } = createAdapter(context, () => ({ monotonicMs: 0, wallMs: 2_001 }));
  open(address, CALL);
  assert.equal((await sink.next(EventKind.UpstreamFailed)).mayHaveReachedUpstream, false);
  assert.equal(requests, 0);
});

// Guards against truncated responses.
test('a stream is relayed with its indexes and ends after its last chunk', async (context) => {
  const address = await startFakeServer(context, (_request, response) => {
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    writeChunk(response, 0);
    writeChunk(response, 1, FINISH);
    response.end();
  });
  const { sink, open } = createAdapter(context);
  open(address, START);
  await sink.next(EventKind.UpstreamEnded);
  const chunks = sink.events.flatMap((event) =>
    event.kind === EventKind.UpstreamChunk ? [event.chunk] : [],
  );
  assert.deepEqual(chunks, [
    { index: 0, text: 't0', finish: undefined },
    { index: 1, text: 't1', finish: FINISH },
  ]);
});

// Guards against a truncated response that counts as complete.
test('a stream without its last chunk fails', async (context) => {
  const address = await startFakeServer(context, (_request, response) => {
    writeChunk(response, 0);
    response.end();
  });
  const { sink, open } = createAdapter(context);
  open(address, START);
  assert.equal((await sink.next(EventKind.UpstreamFailed)).mayHaveReachedUpstream, true);
});

// Guards against a slow caller whose response uses up the memory.
test("backpressure from the caller's socket pauses reading from the engine", async (context) => {
  const partCount = 64;
  const text = 'x'.repeat(64 * 1024);
  const address = await startFakeServer(context, (_request, response) => {
    for (let index = 0; index < partCount; index += 1) {
      const finish = index === partCount - 1 ? FINISH : undefined;
      response.write(`data: ${JSON.stringify({ index, text, finish })}\n\n`);
    }
    response.end();
  });
  let drain = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    drain = resolve;
  });
  let full = false;
  const { sink, open } = createAdapter(context, undefined, () => (full ? drained : Promise.resolve()));
  sink.onEvent = (event) => {
    full ||= event.kind === EventKind.UpstreamChunk;
  };
  open(address, START);
  await sink.next(EventKind.UpstreamChunk);
  await new Promise((resolve) => setImmediate(resolve));
  const chunkCount = (): number =>
    sink.events.filter((event) => event.kind === EventKind.UpstreamChunk).length;
  assert.ok(chunkCount() < partCount);
  drain();
  await sink.next(EventKind.UpstreamEnded);
  assert.equal(chunkCount(), partCount);
});

// Guards against output that is not billed.
test('cancelling an execution reports its token counts', async (context) => {
  const address = await startFakeServer(context, (request, response) => {
    if (request.method === 'DELETE') {
      response.end(JSON.stringify({ promptTokens: 3, cachedPromptTokens: 0, outputTokens: 1 }));
    } else {
      writeChunk(response, 0);
    }
  });
  const { sink, adapter, open } = createAdapter(context);
  open(address, START);
  await sink.next(EventKind.UpstreamChunk);
  const ids = { attemptId: 'a1', requestId: 'r1' };
  adapter.cancel({ kind: EffectKind.UpstreamCancel, address, stopExecution: true, ...ids });
  await sink.next(EventKind.UpstreamEnded);
  const last = sink.events.findLast((event) => event.kind === EventKind.UpstreamChunk);
  const finish = { reason: 'cancelled', promptTokens: 3, cachedPromptTokens: 0, outputTokens: 1 };
  assert.deepEqual(last?.chunk, { index: 1, text: '', finish });
});

// Guards against a new connection for every stream.
test('the connection of a completed stream is reused', async (context) => {
  const ports: (number | undefined)[] = [];
  let endBody = (): unknown => undefined;
  const address = await startFakeServer(context, (request, response) => {
    ports.push(request.socket.remotePort);
    request.resume();
    writeChunk(response, 0, FINISH);
    endBody = () => response.end();
  });
  const { sink, open } = createAdapter(context);
  // A stream may start before the end of the previous one was read, so any reuse of a connection counts.
  for (let count = 0; count < 20; count += 1) {
    open(address, START);
    await sink.next(EventKind.UpstreamEnded);
    sink.events.length = 0;
    endBody();
  }
  assert.ok(new Set(ports).size < ports.length);
});
