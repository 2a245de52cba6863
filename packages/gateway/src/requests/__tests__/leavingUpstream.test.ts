import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteKind } from '../../types.ts';
import { LocalReplyReason } from '../localReplies.ts';
import type { UpstreamResponseHead } from '../ports.ts';
import { RequestRig } from './requestRig.ts';

const STREAM = { kind: RouteKind.Streaming, resumable: true, maxAttempts: 2, timeoutMs: 10_000 };

const RESPONSES: readonly (readonly [string, Partial<UpstreamResponseHead>])[] = [
  ['a success', { status: 200 }],
  ['an error', { status: 500 }],
  ['a refusal', { status: 503, notExecuted: true, signed: false }],
  ['a response without a signature', { signed: false }],
  ['a late copy for another request', { belongsToOtherRequest: true, matchesRequest: false }],
];

for (const [name, head] of RESPONSES) {
  test(`an upstream that says in ${name} that it is leaving gets no further request`, () => {
    const rig = new RequestRig({ kind: RouteKind.Unsafe, maxAttempts: 1 }, ['a']);
    rig.send();
    rig.call.sent();
    rig.call.head({ ...head, upstreamLeaving: true });
    rig.call.end();
    const caller = rig.send();
    assert.equal(rig.calls.length, 1);
    assert.equal(caller.status, 503);
    assert.equal(caller.localReply?.reason, LocalReplyReason.NoUpstream);
  });
}

test('another upstream at the address that is leaving says nothing about the one that was meant', () => {
  const rig = new RequestRig({ maxAttempts: 1 }, ['a']);
  rig.send();
  rig.call.sent();
  rig.call.head({ status: 421, wrongUpstream: true, upstreamLeaving: true });
  assert.equal(rig.context.board.upstreams.get('a')?.leaving, false);
});

test('a stream of an upstream that is leaving goes on to its end', () => {
  const rig = new RequestRig(STREAM, ['a']);
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head({ upstreamLeaving: true });
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(500);
  rig.call.data('id: 2\ndata: b\n\n');
  rig.call.end();
  assert.equal(caller.ended, true);
  assert.equal(rig.calls.length, 1);
});

test('a request that waits for a connection to an upstream that is leaving goes elsewhere', () => {
  const rig = new RequestRig({}, ['a']);
  rig.send();
  const first = rig.call;
  first.sent();
  rig.send();
  const waiting = rig.call;
  rig.addUpstream('b');
  first.head({ upstreamLeaving: true });
  assert.equal(waiting.cancelled, true);
  assert.equal(first.cancelled, false);
  assert.equal(rig.call.upstreamId, 'b');
});

test('a broken stream does not resume at an upstream that is leaving', () => {
  const rig = new RequestRig({ ...STREAM, maxAttempts: 3 });
  const caller = rig.send({ deadlineMs: 10_000 });
  const other = rig.call.upstreamId === 'a' ? 'b' : 'a';
  rig.send({ requestId: 'request-2', deadlineMs: 10_000 });
  const second = rig.call;
  assert.equal(second.upstreamId, other);
  second.sent();
  second.head({ upstreamLeaving: true });
  const [first] = rig.calls;
  first?.sent();
  first?.head();
  first?.data('id: 1\ndata: a\n\n');
  first?.fail();
  assert.equal(rig.calls.length, 2);
  assert.equal(caller.aborted, true);
});

test('a response confirms a doubted entry of its upstream, unless it says that it is leaving or comes from another one', () => {
  for (const [head, isConfirmed] of [
    [{}, true],
    [{ notExecuted: true, status: 503 }, true],
    [{ upstreamLeaving: true }, false],
    [{ wrongUpstream: true, status: 421 }, false],
    [{ matchesRequest: false }, false],
  ] as const) {
    const rig = new RequestRig({}, ['a']);
    const view = rig.context.board.upstreams.get('a');
    const nowMs = rig.context.loop.nowMs();
    view?.doubtEntry(nowMs + 10, nowMs + 100_000);
    rig.send();
    rig.call.sent();
    rig.call.head(head);
    assert.equal(view?.isUsable(nowMs + 50_000), isConfirmed, JSON.stringify(head));
  }
});
