import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { LocalReplyReason } from '../localReplies.ts';
import type { UpstreamRetryAfter } from '../ports.ts';
import { RetryAfterKind } from '../ports.ts';
import { resumeDelayMs } from '../retryDelay.ts';
import { RequestRig } from './requestRig.ts';

function delay(delayMs: number): UpstreamRetryAfter {
  return { kind: RetryAfterKind.Delay, delayMs, isBounded: false };
}

/** Lets the only upstream turn a request away. */
function turnAway(retryAfter: UpstreamRetryAfter): RequestRig {
  const rig = new RequestRig({ maxAttempts: 1 }, ['a']);
  rig.send();
  rig.call.sent();
  rig.call.head({ status: 503, notExecuted: true, signed: false, retryAfter });
  return rig;
}

test('an upstream that asks for time gets no request until its end, and then again', () => {
  const rig = turnAway(delay(2_000));
  rig.advance(1_900);
  const caller = rig.send({ deadlineMs: 900 });
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.localReply?.reason, LocalReplyReason.UpstreamsBusy);
  assert.ok((caller.localReply.retryAfterMs ?? 0) <= 300, 'more than a third of the time left');
  rig.advance(600);
  rig.send();
  assert.equal(rig.calls.length, 2);
  assert.ok(rig.logged.includes('upstream takes requests again'));
});

test('the latest end of several requests for time counts', () => {
  const rig = new RequestRig({ maxAttempts: 1 }, ['a']);
  rig.send();
  rig.send();
  for (const [call, delayMs] of rig.calls.map((call, index) => [call, index === 0 ? 3_000 : 500] as const)) {
    call.sent();
    call.head({ status: 503, notExecuted: true, signed: false, retryAfter: delay(delayMs) });
  }
  rig.advance(2_900);
  rig.send();
  assert.equal(rig.calls.length, 2);
});

test('an upstream that asks for time is not taken for one that fails', () => {
  const view = turnAway(delay(100)).context.board.upstreams.get('a');
  assert.equal(view?.failureRate, 0);
  const failing = turnAway({ kind: RetryAfterKind.Absent }).context.board.upstreams.get('a');
  assert.ok((failing?.failureRate ?? 0) > 0);
});

test('an invalid request for time is logged and does not exclude the upstream', () => {
  const rig = turnAway({ kind: RetryAfterKind.Invalid, value: '-1' });
  assert.ok(rig.logged.includes('upstream asks for time in an invalid form; ignoring it'));
  rig.send();
  assert.equal(rig.calls.length, 2);
});

test('a request that waits for a connection to an upstream that asks for time goes elsewhere', () => {
  const rig = new RequestRig({ maxAttempts: 1 }, ['a']);
  rig.send();
  rig.send();
  const [first, waiting] = rig.calls;
  rig.addUpstream('b');
  first?.sent();
  first?.head({ status: 503, notExecuted: true, signed: false, retryAfter: delay(1_000) });
  assert.equal(waiting?.cancelled, true);
  assert.equal(rig.call.upstreamId, 'b');
});

test('callers that wait for the same engine return spread over a time, within a third of the time that they have', () => {
  const random = seededRandom(1);
  const delaysMs = Array.from({ length: 200 }, () =>
    resumeDelayMs({ resumesInMs: 1_000, remainingMs: 9_000 }, random),
  );
  assert.ok(delaysMs.every((delayMs) => delayMs >= 1_000 && delayMs <= 3_000));
  assert.ok(Math.max(...delaysMs) - Math.min(...delaysMs) > 200);
  assert.equal(resumeDelayMs({ resumesInMs: 5_000, remainingMs: 900 }, random), 300);
});
