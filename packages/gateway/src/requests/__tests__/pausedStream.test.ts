import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '../../retries/retryBudget.ts';
import { RouteKind } from '../../types.ts';
import { UpstreamFailure } from '../ports.ts';
import type { FakeCaller, FakeUpstreamCall } from './requestRig.ts';
import { RequestRig } from './requestRig.ts';

const STREAM = { kind: RouteKind.Streaming, resumable: true, timeoutMs: 10_000 };

/** Starts a stream that has paused at its first upstream and was sent to a second one. */
function switchPausedStream(): { rig: RequestRig; caller: FakeCaller } {
  const rig = new RequestRig(STREAM);
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(rig.context.options.silentConnectionMs + 10);
  assert.equal(rig.calls.length, 2);
  return { rig, caller };
}

for (const [failure, fail] of [
  [
    'refuses it',
    (call: FakeUpstreamCall): void => {
      call.sent();
      call.head({ status: 503, notExecuted: true });
    },
  ],
  [
    'cannot be reached',
    (call: FakeUpstreamCall): void => {
      call.fail(UpstreamFailure.ConnectionRefused);
    },
  ],
  [
    'breaks it off',
    (call: FakeUpstreamCall): void => {
      call.sent();
      call.fail();
    },
  ],
] as const) {
  test(`a paused stream goes on at its upstream if the other one ${failure} (it was cut off)`, () => {
    const { rig, caller } = switchPausedStream();
    fail(rig.call);
    assert.equal(caller.aborted, false);
    assert.equal(rig.calls.length, 3);
    assert.equal(rig.call.upstreamId, rig.calls[0]?.upstreamId);
    assert.ok(rig.logged.includes('stream goes back to the upstream that paused; no other one takes it'));
    const metrics = rig.context.metrics.prometheusText();
    assert.match(metrics, /pimentostall_paused_streams_total\{outcome="went-back"\} 1/);
    assert.doesNotMatch(metrics, /outcome="switched"/);
    assert.equal(rig.call.request.lastEventId, '1');
    rig.call.sent();
    rig.call.head();
    rig.call.data('id: 2\ndata: b\n\n');
    rig.call.end();
    assert.equal(caller.ended, true);
    assert.equal(caller.body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  });
}

test('a paused stream that ends at both upstreams is cut off after it went back once', () => {
  const { rig, caller } = switchPausedStream();
  rig.call.sent();
  rig.call.fail();
  rig.call.sent();
  rig.call.fail();
  assert.equal(rig.calls.length, 3);
  assert.equal(caller.aborted, true);
});

test('a paused stream is not given up while no other upstream is usable (it was cut off)', () => {
  const rig = new RequestRig(STREAM, ['a']);
  const caller = rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(3 * rig.context.options.silentConnectionMs);
  assert.equal(rig.call.cancelled, false);
  rig.call.data('id: 2\ndata: b\n\n');
  rig.call.end();
  assert.equal(caller.ended, true);
});

test('a paused stream is not given up if the retry budget does not cover the way back', () => {
  const rig = new RequestRig(STREAM);
  const { board, options } = rig.context;
  board.retryBudgets.set('orders', new RetryBudget({ ratio: 0, windowMs: options.retryWindowMs, slack: 1 }));
  rig.send({ deadlineMs: 10_000 });
  rig.call.sent();
  rig.call.head();
  rig.call.data('id: 1\ndata: a\n\n');
  rig.advance(3 * options.silentConnectionMs);
  assert.equal(rig.calls.length, 1);
});

test('an upstream whose paused stream another one takes has failed; one whose stream comes back has not', () => {
  const taken = switchPausedStream().rig;
  taken.call.sent();
  taken.call.head();
  const refused = switchPausedStream().rig;
  refused.call.sent();
  refused.call.head({ status: 503, notExecuted: true });
  const failureRate = ({ calls, context }: RequestRig): number | undefined =>
    context.board.upstreams.get(calls[0]?.upstreamId ?? '')?.failureRate;
  assert.ok((failureRate(taken) ?? 0) > 0);
  assert.equal(failureRate(refused), 0);
});

test('the retry for the way back is given back once another upstream has taken the stream (half as many were saved)', () => {
  const { rig } = switchPausedStream();
  const budget = rig.context.board.retryBudgets.get('orders');
  assert.ok(budget);
  const nowMs = rig.context.loop.nowMs();
  const countLeft = (): number => {
    let count = 0;
    while (budget.tryReserveRetry(nowMs, 1)) {
      count += 1;
    }
    return count;
  };
  countLeft();
  assert.equal(countLeft(), 0);
  rig.call.sent();
  rig.call.head();
  assert.equal(countLeft(), 1);
});
