import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Verdict } from '@pimentostall/core';
import type { UpstreamView } from '../../placement/upstreamView.ts';
import { RouteKind } from '../../types.ts';
import { LocalReplyReason } from '../localReplies.ts';
import { UpstreamFailure } from '../ports.ts';
import type { FakeCaller } from './requestRig.ts';
import { RequestRig } from './requestRig.ts';

test('a safe response that breaks midway is not joined with the response of another upstream', () => {
  const rig = new RequestRig();
  const caller = rig.send();
  rig.call.sent();
  rig.call.head();
  rig.call.data('half of');
  rig.call.fail();
  rig.call.sent();
  rig.call.head();
  rig.call.data('the whole answer');
  rig.call.end();
  assert.equal(rig.calls.length, 2);
  assert.equal(caller.body, 'the whole answer');
  assert.equal(caller.ended, true);
});

test('an unsafe request that may have run is not retried and not reported as not executed', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 2 });
  const caller = rig.send();
  rig.call.sent();
  rig.call.fail();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.status, 502);
  assert.equal(caller.localReply?.verdict, Verdict.MayHaveRun);
  assert.equal(caller.localReply.retryAfterMs, undefined);
});

test('an unsafe request is sent to another upstream if the connection could not be opened', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 1 });
  rig.send();
  rig.call.fail();
  assert.equal(rig.calls.length, 2);
  assert.notEqual(rig.calls[0]?.upstreamId, rig.calls[1]?.upstreamId);
});

test('a refusal by the upstream is reported as not executed with a retry delay', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 1 });
  const caller = rig.send();
  rig.call.sent();
  rig.call.head({ status: 503, notExecuted: true, signed: false });
  assert.equal(caller.status, 503);
  assert.equal(caller.localReply?.verdict, Verdict.DidNotRun);
  assert.ok((caller.localReply.retryAfterMs ?? 0) > 0);
});

test('a response to another request is not passed on', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 1 });
  const caller = rig.send();
  rig.call.sent();
  rig.call.head({ matchesRequest: false });
  assert.equal(caller.status, 502);
  assert.equal(rig.call.cancelled, true);
});

test('a late copy of the refusal of another request is not taken for that of this one', () => {
  // Guards against a request that is reported as not executed, or sent again, although its own upstream runs it.
  for (const head of [
    { status: 503, notExecuted: true },
    { status: 421, wrongUpstream: true },
  ]) {
    const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 2 });
    const caller = rig.send();
    rig.call.sent();
    rig.call.head({ ...head, signed: false, matchesRequest: false, belongsToOtherRequest: true });
    assert.equal(rig.calls.length, 1);
    assert.equal(rig.call.cancelled, true);
    assert.equal(caller.status, 502);
    assert.equal(caller.localReply?.verdict, Verdict.MayHaveRun);
  }
});

test('a request without a response fails at its deadline with the verdict that it may have run', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 1, timeoutMs: 500 });
  const caller = rig.send();
  rig.call.sent();
  rig.advance(499);
  assert.equal(caller.status, undefined);
  rig.advance(500);
  assert.equal(caller.status, 504);
  assert.equal(caller.localReply?.verdict, Verdict.MayHaveRun);
  assert.equal(rig.call.cancelled, true);
});

test('an upstream whose response was too large to end before the deadline counts as failed', () => {
  for (const route of [{ kind: RouteKind.Unsafe }, { kind: RouteKind.Streaming }]) {
    const rig = new RequestRig({ ...route, timeoutMs: 500 }, ['a']);
    const caller = rig.send();
    rig.call.sent();
    rig.call.head();
    rig.call.data('x'.repeat(100_000));
    rig.advance(1_000);
    assert.equal(caller.status, 504);
    assert.ok((rig.context.board.upstreams.get('a')?.failureRate ?? 0) > 0);
  }
});

test('each attempt receives the time that remains until the deadline', () => {
  const rig = new RequestRig({ timeoutMs: 700 });
  rig.send({ deadlineMs: 800 });
  rig.call.sent();
  rig.advance(150);
  rig.call.fail();
  assert.deepEqual(
    rig.calls.map(({ request }) => request.remainingMs),
    [700, 550],
  );
});

test('the upstream call is cancelled when the caller disconnects', () => {
  const rig = new RequestRig();
  const caller = rig.send();
  rig.call.sent();
  caller.disconnect();
  assert.equal(rig.call.cancelled, true);
  assert.equal(rig.context.board.openRequests, 0);
});

const STREAM = { kind: RouteKind.Streaming, resumable: true, maxAttempts: 2, timeoutMs: 10_000 };

test('a broken stream resumes on another engine without missing or duplicate events', () => {
  const rig = new RequestRig(STREAM);
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\nid: 2\nda');
  rig.call.fail();
  assert.equal(rig.call.request.lastEventId, '1');
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 2\ndata: b\n\n');
  rig.call.end();
  assert.equal(caller.body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  assert.equal(caller.ended, true);
});

test('a response that is not an event stream is not appended to a stream that was to be resumed', () => {
  const rig = new RequestRig(STREAM);
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.call.fail();
  rig.call.sent();
  rig.call.head({ status: 404 });
  rig.call.data('no such stream');
  rig.call.end();
  assert.equal(caller.body, 'id: 1\ndata: a\n\n');
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a broken stream that is not resumable does not appear to be complete', () => {
  const rig = new RequestRig({ ...STREAM, resumable: false });
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.call.fail();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.aborted, true);
  assert.equal(caller.ended, false);
});

test('a stream resumes on another engine after a silent connection has been cancelled', () => {
  const rig = new RequestRig(STREAM);
  rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(rig.context.options.silentConnectionMs + 10);
  assert.equal(rig.calls.length, 2);
  assert.equal(rig.calls[0]?.cancelled, true);
});

test('a router without a configuration responds with 503 and does not report an unknown route', () => {
  const rig = new RequestRig();
  rig.context.board.configuration = undefined;
  const caller = rig.send();
  assert.equal(caller.status, 503);
  assert.equal(caller.localReply?.verdict, Verdict.DidNotRun);
});

test('an internal error closes the connection and does not leave the caller waiting', () => {
  const rig = new RequestRig();
  rig.context.board.upstreams.clear();
  Object.defineProperty(rig.context.board, 'upstreams', {
    get: () => {
      throw new Error('defect');
    },
  });
  const caller = rig.send();
  assert.equal(caller.aborted, true);
  assert.equal(rig.context.board.openRequests, 0);
});

test('a router that exits answers a request that was sent to an upstream instead of dropping it', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 2 });
  const caller = rig.send();
  rig.call.sent();
  caller.endRequest();
  assert.equal(rig.call.cancelled, true);
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.status, 502);
  assert.equal(caller.localReply?.verdict, Verdict.MayHaveRun);
});

test('a router that exits reports a request that was not sent as not executed and sends it nowhere', () => {
  const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 2 });
  const caller = rig.send();
  caller.endRequest();
  assert.equal(rig.call.cancelled, true);
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.status, 503);
  assert.equal(caller.localReply?.verdict, Verdict.DidNotRun);
  assert.equal(rig.send().status, 503);
  assert.equal(rig.calls.length, 1);
});

/** Starts a stream of which one event has reached its caller. */
function startStream(): { rig: RequestRig; caller: FakeCaller } {
  const rig = new RequestRig({ kind: RouteKind.Streaming, resumable: true, maxAttempts: 2 });
  const caller = rig.send();
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  return { rig, caller };
}

test('a stream that its router cuts off at its exit leaves a log line and is not reported as complete', () => {
  const { rig, caller } = startStream();
  caller.endRequest(true);
  assert.equal(caller.aborted, true);
  assert.equal(caller.ended, false);
  assert.equal(rig.call.cancelled, true);
  assert.ok(rig.logged.includes('request ended'));
  assert.equal(rig.context.board.openRequests, 0);
});

test('a started stream goes on until its router exits, and is cut off if its upstream breaks before', () => {
  const { rig, caller } = startStream();
  caller.endRequest();
  assert.equal(caller.aborted, false);
  rig.call.data('id: 2\ndata: b\n\n');
  assert.equal(caller.body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  rig.call.fail();
  assert.equal(caller.aborted, true);
  assert.equal(caller.ended, false);
  assert.equal(rig.calls.length, 1);
});

test('a slow stream is not cut while the retry budget allows no other attempt', () => {
  // Guards against a sound attempt that is cancelled although nothing can take its place.
  const rig = new RequestRig(STREAM);
  Object.assign(rig.context, { maxRouterCount: () => 1_000 });
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.advance(4_000);
  assert.equal(rig.call.cancelled, false);
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(4_000);
  assert.equal(rig.call.cancelled, false);
  rig.call.end();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.status, 200);
  assert.equal(caller.ended, true);
});

test('a stream with gaps as long as its route allows is not cut', () => {
  const rig = new RequestRig({ ...STREAM, timeoutMs: 60_000, targetGapMs: 2_000 });
  const caller = rig.send({ deadlineMs: 60_000 });
  rig.call.sent();
  rig.call.head();
  for (let event = 1; event <= 20; event += 1) {
    rig.call.data(`id: ${event}\ndata: a\n\n`);
    rig.advance(2_000);
  }
  rig.call.end();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.ended, true);
});

test('an engine that sends a byte now and then counts as silent, and its stream goes on elsewhere', () => {
  // Guards against limits that any byte extends, so that a stalled stream lasts until its deadline.
  const rig = new RequestRig(STREAM);
  rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  const { silentConnectionMs } = rig.context.options;
  for (let sentMs = 0; sentMs <= silentConnectionMs; sentMs += 100) {
    rig.calls[0]?.data(':');
    rig.advance(100);
  }
  assert.equal(rig.calls[0]?.cancelled, true);
  assert.equal(rig.calls.length, 2);
  assert.equal(rig.call.request.lastEventId, '1');
});

test('a plain response that trickles counts as silent, and one that flows does not', () => {
  const play = (bytes: number): RequestRig => {
    const rig = new RequestRig({ targetLatencyMs: 100 });
    rig.send();
    rig.call.sent();
    rig.call.head({}, 60_000);
    for (let step = 0; step < 6; step += 1) {
      rig.calls[0]?.data('x'.repeat(bytes));
      rig.advance(50);
    }
    return rig;
  };
  assert.equal(play(1).calls.length, 2);
  assert.equal(play(5_000).calls.length, 1);
});

test('a stream that ends inside an event goes on at another engine and does not look complete', () => {
  const { rig, caller } = startStream();
  rig.call.data('id: 2\ndata: b');
  rig.call.end();
  assert.equal(caller.ended, false);
  assert.equal(caller.body, 'id: 1\ndata: a\n\n');
  rig.call.sent();
  assert.equal(rig.call.request.lastEventId, '1');
  rig.call.head();
  rig.call.data('id: 2\ndata: b\n\n');
  rig.call.end();
  assert.equal(caller.body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  assert.equal(caller.ended, true);
});

test('a stream that ends inside an event and cannot go on is cut off for its caller', () => {
  const rig = new RequestRig({ kind: RouteKind.Streaming, resumable: false });
  const caller = rig.send();
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\nid: 2\n');
  rig.call.end();
  assert.equal(caller.ended, false);
  assert.equal(caller.aborted, true);
});

test('a blank line after the last event does not count as an event that broke off', () => {
  const { rig, caller } = startStream();
  rig.call.data('\r\n');
  rig.call.end();
  assert.equal(caller.ended, true);
});

test('a stream without a length that ends as its engine crashes goes on at another engine', async () => {
  const { rig, caller } = startStream();
  rig.ended.add(rig.call.upstreamId);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(rig.calls.length, 2);
  assert.equal(rig.call.request.lastEventId, '1');
});

const departures: readonly [string, (rig: RequestRig, view: UpstreamView) => void][] = [
  [
    'drains',
    (_rig, view) => {
      view.leaving = true;
    },
  ],
  [
    'is no longer registered',
    ({ context }, { entry }) => {
      context.board.upstreams.delete(entry.upstreamId);
    },
  ],
];
for (const [name, leave] of departures) {
  test(`a stream without a length that ends as its engine exits while it ${name} goes on at another engine`, async () => {
    const { rig, caller } = startStream();
    const { upstreamId } = rig.call;
    const view = rig.context.board.upstreams.get(upstreamId);
    assert.ok(view);
    leave(rig, view);
    rig.ended.add(upstreamId);
    rig.call.end(true);
    await settle();
    assert.equal(caller.ended, false);
    assert.equal(rig.calls.length, 2);
    assert.equal(rig.call.request.lastEventId, '1');
  });
}

test('a response without a length that ends as its upstream crashes is not passed on as whole', async () => {
  const rig = new RequestRig();
  const caller = rig.send();
  rig.call.sent();
  rig.call.head();
  rig.call.data('half of');
  rig.ended.add(rig.call.upstreamId);
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, false);
  assert.equal(rig.calls.length, 2);
});

test('a stream without a length is complete if its engine goes on running', async () => {
  const { rig, caller } = startStream();
  rig.call.end(true);
  await settle();
  assert.equal(caller.ended, true);
  assert.equal(rig.calls.length, 1);
});

test('an upstream that refuses a connection is not tried again by the requests after it', () => {
  const rig = new RequestRig({}, ['a']);
  rig.send();
  rig.call.fail(UpstreamFailure.ConnectionRefused);
  const caller = rig.send();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.localReply?.reason, LocalReplyReason.NoUpstream);
});

/** Lets the callbacks of resolved promises run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
