import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import { UpstreamView } from '../../placement/upstreamView.ts';
import { RouteKind } from '../../types.ts';
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

/** Starts a stream without a length, whose first event has been passed on. */
function startStream(): { rig: RequestRig; caller: FakeCaller } {
  const rig = new RequestRig({ kind: RouteKind.Streaming, timeoutMs: 20_000 });
  rig.context.loop.spawn('periodic', workPeriodically(rig));
  const caller = rig.send({ deadlineMs: 20_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  return { rig, caller };
}

/** Lets the check for the end of the process, and what waits for it, run. */
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
