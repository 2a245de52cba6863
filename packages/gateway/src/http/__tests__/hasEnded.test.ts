import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { UpstreamConnections } from '../upstreamConnections.ts';
import type { WireCodec } from '../wireCodec.ts';
import { createEntry } from './testEntry.ts';

const codec: WireCodec = {
  decodeRequest: () => assert.fail('not used'),
  encodeUpstreamRequest: () => assert.fail('not used'),
  decodeUpstreamHead: () => assert.fail('not used'),
  encodeLocalReply: () => assert.fail('not used'),
};

const connections = new UpstreamConnections(codec, {
  connectTimeoutMs: 500,
  idleTimeoutMs: 4_000,
  idleMarginMs: 500,
  connectionLimit: () => 2,
});

test('an engine whose process has ended is told from one that only closed a connection', async () => {
  const server = createServer((socket) => {
    socket.destroy();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const entry = createEntry(port);
  assert.equal(await connections.hasEnded(entry), false);
  server.close();
  await once(server, 'close');
  assert.equal(await connections.hasEnded(entry), true);
});

test('a process that closes its listening socket after its connections is not taken for running', async () => {
  const server = createServer((socket) => {
    server.close();
    socket.resetAndDestroy();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  assert.equal(await connections.hasEnded(createEntry(port)), true);
});

test('an engine that keeps connections open is running', async () => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  assert.equal(await connections.hasEnded(createEntry(port)), false);
  server.close();
});
