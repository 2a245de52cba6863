import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { WatchState } from '../../requests/ports.ts';
import type { UpstreamWatch } from '../../requests/ports.ts';
import type { UpstreamEntry } from '../../types.ts';
import { WatchConnections } from '../watchConnections.ts';
import { createEntry } from './testEntry.ts';

const OPEN_DELAY_MS = 20;
const OPTIONS = { connectTimeoutMs: 500, renewalIntervalMs: 60_000, openDelayMs: OPEN_DELAY_MS };
const POLL_MS = 5;

interface Engine {
  readonly server: Server;
  readonly entry: UpstreamEntry;
  readonly sockets: Socket[];
}

async function startEngine(
  t: TestContext,
  onConnection: (socket: Socket) => void = () => undefined,
): Promise<Engine> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.resume();
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  });
  const { port } = server.address() as AddressInfo;
  return { server, entry: createEntry(port), sockets };
}

async function waitForState(watch: UpstreamWatch, state: WatchState): Promise<void> {
  while (watch.state !== state) {
    await sleep(POLL_MS);
  }
}

test('a watch shows that its upstream closed the connection, for a short time, and opens no other', async (t) => {
  const { entry, sockets } = await startEngine(t);
  const watch = new WatchConnections({ ...OPTIONS, renewalIntervalMs: 100 }).watch(entry);
  assert.equal(watch.state, WatchState.Unavailable);
  await waitForState(watch, WatchState.Open);
  await sleep(60);
  sockets[0]?.destroy();
  await waitForState(watch, WatchState.JustClosed);
  await waitForState(watch, WatchState.Unavailable);
  await sleep(200);
  assert.equal(watch.state, WatchState.Unavailable);
  assert.equal(sockets.length, 1);
  watch.close();
});

test('a close is still seen after a pause of the VM (a restart behind it was missed)', async (t) => {
  const { entry, sockets } = await startEngine(t);
  const watch = new WatchConnections(OPTIONS).watch(entry);
  await waitForState(watch, WatchState.Open);
  await sleep(60);
  sockets[0]?.destroy();
  await waitForState(watch, WatchState.JustClosed);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 90);
  assert.equal(watch.state, WatchState.JustClosed);
  watch.close();
});

test('a server that has stopped listening keeps a watch open, and can end once it is closed', async (t) => {
  const { entry, server, sockets } = await startEngine(t);
  const watch = new WatchConnections(OPTIONS).watch(entry);
  await waitForState(watch, WatchState.Open);
  server.close();
  await sleep(50);
  assert.equal(watch.state, WatchState.Open);
  const [socket] = sockets;
  assert.ok(socket);
  const closed = once(socket, 'close');
  watch.close();
  await closed;
});

test('a watch that ends before the delay opens no connection', async (t) => {
  const { entry, sockets } = await startEngine(t);
  new WatchConnections(OPTIONS).watch(entry).close();
  await sleep(3 * OPEN_DELAY_MS);
  assert.equal(sockets.length, 0);
});

test('watches of an upstream share one connection, which stays until the last of them ends', async (t) => {
  const { entry, sockets } = await startEngine(t);
  const connections = new WatchConnections(OPTIONS);
  const [first, second] = [connections.watch(entry), connections.watch(entry)];
  await waitForState(first, WatchState.Open);
  first.close();
  first.close();
  assert.equal(first.state, WatchState.Unavailable);
  assert.equal(second.state, WatchState.Open);
  assert.equal(sockets.length, 1);
  second.close();
});

test('a watch is renewed before its upstream closes it as idle', async (t) => {
  const idleTimeoutMs = 1_400;
  const { entry, sockets } = await startEngine(t, (socket) => {
    socket.setTimeout(idleTimeoutMs, () => socket.destroy());
  });
  const watch = new WatchConnections({ ...OPTIONS, renewalIntervalMs: 300 }).watch(entry);
  await waitForState(watch, WatchState.Open);
  const untilMs = performance.now() + 2 * idleTimeoutMs;
  while (performance.now() < untilMs) {
    assert.equal(watch.state, WatchState.Open);
    await sleep(POLL_MS);
  }
  assert.ok(sockets.length >= 4);
  watch.close();
});

test('a connection that the upstream closes after its successor was opened counts as closed (a restart was missed)', async (t) => {
  const { entry, sockets } = await startEngine(t);
  const watch = new WatchConnections({ ...OPTIONS, renewalIntervalMs: 100 }).watch(entry);
  while (sockets.length < 2) {
    await sleep(POLL_MS);
  }
  sockets[0]?.destroy();
  await waitForState(watch, WatchState.JustClosed);
  watch.close();
});

test('an upstream that closes further connections at once is not taken for one that ends (its limit was reached)', async (t) => {
  const { entry, sockets } = await startEngine(t, (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 10);
  });
  const watch = new WatchConnections(OPTIONS).watch(entry);
  const untilMs = performance.now() + 200;
  while (performance.now() < untilMs) {
    assert.notEqual(watch.state, WatchState.JustClosed);
    await new Promise(setImmediate);
  }
  assert.equal(sockets.length, 1);
  watch.close();
});

test('an upstream that refuses connections is not watched', async (t) => {
  const { entry, server } = await startEngine(t);
  server.close();
  await once(server, 'close');
  const watch = new WatchConnections(OPTIONS).watch(entry);
  await sleep(5 * OPEN_DELAY_MS);
  assert.equal(watch.state, WatchState.Unavailable);
  watch.close();
});
