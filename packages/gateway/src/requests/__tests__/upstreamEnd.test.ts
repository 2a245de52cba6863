import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import { UpstreamView } from '../../placement/upstreamView.ts';
import { RouteKind, UpstreamState } from '../../types.ts';
import { WatchState } from '../ports.ts';
import type { FakeCaller } from './requestRig.ts';
import { RequestRig } from './requestRig.ts';

const STALL_MS = 3_500;
/** Longer than a response waits for the register. */
const REGISTER_LIMIT_MS = 2_500;

/** A router has periodic work, whose delay shows a stall. */
function* workPeriodically({ context }: RequestRig): Task<void> {
  for (;;) {
    yield* sleepUntil(context.loop.nearestTickMs(200));
  }
}

/** Longer than it takes to rule out that the close of a watch was lost. */
const WATCH_LIMIT_MS = 600;

/** Starts a stream without a length, whose first event has been passed on. */
function startStream(upstreamIds?: readonly string[]): { rig: RequestRig; caller: FakeCaller } {
  const rig = new RequestRig({ kind: RouteKind.Streaming, timeoutMs: 20_000 }, upstreamIds);
  rig.context.loop.spawn('periodic', workPeriodically(rig));
  const caller = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head({}, undefined, true);
  rig.call.data('id: 1\ndata: a\n\n');
  return { rig, caller };
}

/** Lets the checks for the end of the process, and what waits for them, run. */
async function settle(): Promise<void> {
  await new Promise(setImmediate);
}

/** Registers another incarnation under the id of the upstream that was called. */
function registerRestart({ context, call }: RequestRig): void {
  const { upstreams } = context.board;
  const view = upstreams.get(call.upstreamId);
  assert.ok(view);
  const entry = { ...view.entry, startTimeMs: 2 };
  upstreams.set(call.upstreamId, new UpstreamView(entry, context.options.placement));
}

test('a stream whose engine has started again at its address is not passed on as whole', async () => {
  const { rig, caller } = startStream();
  registerRestart(rig);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream whose engine restarted in a stall is not whole, though the register is read after its end', async () => {
  const { rig, caller } = startStream();
  rig.stall(STALL_MS);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false, 'passed on before the register was read');
  rig.advance(300);
  registerRestart(rig);
  rig.context.board.registerReadAtMs = rig.context.loop.nowMs();
  rig.advance(100);
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream that ends after a stall is whole if the register still names its engine', async () => {
  const { rig, caller } = startStream();
  rig.stall(STALL_MS);
  rig.call.end(true);
  await settle();
  rig.advance(300);
  rig.context.board.registerReadAtMs = rig.context.loop.nowMs();
  rig.advance(100);
  assert.equal(caller.ended, true);
});

test('a stream that ends after a stall is not passed on as whole while the register cannot be read', async () => {
  const { rig, caller } = startStream();
  rig.stall(STALL_MS);
  rig.call.end(true);
  await settle();
  rig.advance(REGISTER_LIMIT_MS);
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream that was sent after the stall, or after which the register was read, ends without a wait', async () => {
  const { rig } = startStream();
  rig.stall(STALL_MS);
  rig.context.board.registerReadAtMs = rig.context.loop.nowMs();
  const caller = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, true);
});

/** Starts such a stream of an engine that no longer listens; its watch is open. */
function startWatchedStream(): { rig: RequestRig; caller: FakeCaller } {
  const { rig, caller } = startStream();
  rig.ended.add(rig.call.upstreamId);
  rig.watchStates.set(rig.call.upstreamId, WatchState.Open);
  return { rig, caller };
}

test('a stream of an engine that no longer listens is whole if its process outlives it (it was cut off)', async () => {
  const { rig, caller } = startWatchedStream();
  rig.call.end(true);
  await settle();
  rig.advance(100);
  assert.equal(caller.ended, false, 'passed on before a lost packet was ruled out');
  rig.advance(WATCH_LIMIT_MS);
  assert.equal(caller.ended, true);
  assert.deepEqual(rig.watched, []);
  assert.match(
    rig.context.metrics.prometheusText(),
    /pimentostall_close_delimited_responses_total\{end="complete"\} 1/,
  );
});

test('a stream of an engine that no longer listens is not whole if its process ends with it', async () => {
  const { rig, caller } = startWatchedStream();
  rig.call.end(true);
  await settle();
  rig.advance(200);
  rig.watchStates.set(rig.call.upstreamId, WatchState.JustClosed);
  rig.advance(WATCH_LIMIT_MS);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream is not whole if its watch turns out to be closed after a pause in the check (the timer ran first)', async () => {
  const { rig, caller } = startWatchedStream();
  rig.call.end(true);
  await settle();
  rig.advance(480);
  rig.stall(100);
  rig.watchStates.set(rig.call.upstreamId, WatchState.JustClosed);
  rig.advance(50);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream is not whole if the register no longer states the start time of its engine', async () => {
  const rig = new RequestRig({ kind: RouteKind.Streaming, timeoutMs: 20_000 }, ['a']);
  const { board, options } = rig.context;
  const view = board.upstreams.get('a');
  assert.ok(view);
  view.entry = { ...view.entry, startTimeMs: 1 };
  const caller = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head({}, undefined, true);
  rig.call.data('id: 1\ndata: a\n\n');
  board.upstreams.set('a', new UpstreamView({ ...view.entry, startTimeMs: undefined }, options.placement));
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream that is closed together with the watch is not whole, although something listens at the address', async () => {
  const { rig, caller } = startStream();
  rig.watchStates.set(rig.call.upstreamId, WatchState.JustClosed);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a stream is not whole if the deadline comes before it is known whether its process outlives it', async () => {
  const { rig, caller } = startWatchedStream();
  rig.advance(19_800);
  rig.call.end(true);
  await settle();
  rig.advance(WATCH_LIMIT_MS);
  assert.equal(caller.ended, false);
});

test('a stream is not whole if a later engine has its address, also under another id', async () => {
  const { rig, caller } = startStream();
  const { context } = rig;
  rig.watchStates.set(rig.call.upstreamId, WatchState.Open);
  const view = context.board.upstreams.get(rig.call.upstreamId);
  assert.ok(view);
  const entry = { ...view.entry, upstreamId: 'later', startTimeMs: 2 };
  context.board.upstreams.set('later', new UpstreamView(entry, context.options.placement));
  rig.call.end(true);
  await settle();
  rig.advance(WATCH_LIMIT_MS);
  assert.equal(caller.ended, false);
});

test('an engine that leaves is watched from then on, before its response begins', async () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, timeoutMs: 20_000 });
  const caller = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  assert.deepEqual(rig.watched, []);
  const view = rig.context.board.upstreams.get(rig.call.upstreamId);
  assert.ok(view);
  view.entry = { ...view.entry, state: UpstreamState.Draining };
  view.reportLeaving();
  assert.deepEqual(rig.watched, [rig.call.upstreamId]);
  rig.ended.add(rig.call.upstreamId);
  rig.watchStates.set(rig.call.upstreamId, WatchState.Open);
  rig.call.head({}, undefined, true);
  rig.call.data('paid');
  rig.call.end(true);
  await settle();
  rig.advance(WATCH_LIMIT_MS);
  assert.equal(caller.ended, true);
  assert.equal(caller.body, 'paid');
});

test('an engine is not watched for a response whose length is known', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe });
  rig.send();
  rig.call.sent();
  rig.context.board.upstreams.get(rig.call.upstreamId)?.reportLeaving();
  rig.call.head({}, 4);
  assert.deepEqual(rig.watched, []);
  rig.context.board.upstreams.get(rig.call.upstreamId)?.reportLeaving();
  assert.deepEqual(rig.watched, []);
});

/** Starts such a stream of an engine that has stopped listening and has closed the watch as an idle connection. */
function startStreamOfExitingEngine(): { rig: RequestRig; caller: FakeCaller } {
  const { rig, caller } = startStream(['a']);
  rig.ended.add(rig.call.upstreamId);
  rig.watchStates.set(rig.call.upstreamId, WatchState.Unavailable);
  return { rig, caller };
}

test('a stream of an engine without idle connections is whole if it still holds its connection (it was cut off)', async () => {
  const { rig, caller } = startStreamOfExitingEngine();
  rig.halfOpen.add(rig.call.upstreamId);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, true);
});

test('a stream of an engine without idle connections is whole if another one goes on after it (it was cut off)', async () => {
  const { rig, caller } = startStreamOfExitingEngine();
  const [first] = rig.calls;
  const other = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head({}, undefined, true);
  first?.end(true);
  await settle();
  // Data that may have been sent before the end and was lost on the way once.
  rig.advance(300);
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(100);
  assert.equal(caller.ended, false, 'passed on before a lost packet was ruled out');
  rig.advance(300);
  rig.call.data('id: 2\ndata: b\n\n');
  rig.advance(100);
  assert.equal(caller.ended, true);
  // Nothing shows that the process outlives the last one.
  rig.call.end(true);
  await settle();
  rig.advance(100);
  assert.equal(other.aborted, true);
});

test('streams of an engine without idle connections that end together are not passed on as whole', async () => {
  const { rig, caller } = startStreamOfExitingEngine();
  const [first] = rig.calls;
  const other = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head({}, undefined, true);
  rig.call.data('id: 1\ndata: a\n\n');
  first?.end(true);
  rig.call.end(true);
  await settle();
  rig.advance(2 * WATCH_LIMIT_MS);
  assert.deepEqual([caller.aborted, other.aborted], [true, true]);
});
