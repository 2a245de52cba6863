import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { UpstreamView } from '../../placement/upstreamView.ts';
import { ColdSource, recordCold } from '../../placement/coldUpstreams.ts';
import type { Route } from '../../types.ts';
import { RouteKind } from '../../types.ts';
import { LocalReplyReason } from '../localReplies.ts';
import { UpstreamFailure } from '../ports.ts';
import { RequestRig } from './requestRig.ts';

const WARMUP_MS = 3_000;
/** Interval of the only router: 7 requests in 1,100 ms. */
const INTERVAL_MS = 158;

/** A route that gives up an upstream only once it counts as silent. */
const PATIENT: Partial<Route> = { targetLatencyMs: undefined, timeoutMs: 5_000 };

/** A router that knows all others, which are none, with the part enabled. */
function createRig(route: Partial<Route> = {}, upstreamIds: readonly string[] = ['a', 'b']): RequestRig {
  const rig = new RequestRig(route, upstreamIds);
  const { board, options } = rig.context;
  Object.assign(options, { coldBound: { overshoot: 1.5, slack: 5 } });
  const warmup = { durationMs: WARMUP_MS, requestsPerSecond: 6.9 };
  assert.ok(board.configuration);
  board.configuration = {
    ...board.configuration,
    services: new Map([['orders', { name: 'orders', maxConnections: 10, engine: undefined, warmup }]]),
  };
  Object.assign(board.membershipReads, { firstAtMs: -10_000, lastAtMs: Infinity });
  return rig;
}

function viewOf(rig: RequestRig, upstreamId: string): UpstreamView {
  const view = rig.context.board.upstreams.get(upstreamId);
  assert.ok(view);
  return view;
}

function makeCold(rig: RequestRig, upstreamId: string, durationMs = WARMUP_MS): void {
  const untilMs = rig.context.loop.nowMs() + durationMs;
  recordCold(rig.context, viewOf(rig, upstreamId), untilMs, ColdSource.Register);
}

test('a request that waits for a connection to an engine that becomes cold goes elsewhere', () => {
  const rig = createRig();
  rig.send();
  const waiting = rig.call;
  makeCold(rig, waiting.upstreamId);
  assert.equal(waiting.cancelled, true);
  assert.notEqual(rig.call.upstreamId, waiting.upstreamId);
});

test('a request that was sent to an engine before it becomes cold goes on there', () => {
  const rig = createRig({}, ['a']);
  const caller = rig.send();
  rig.call.sent();
  makeCold(rig, 'a');
  rig.call.head();
  rig.call.end();
  assert.equal(caller.ended, true);
});

test('no request waits for the allowance of a cold engine while a warm one is available', () => {
  const rig = createRig();
  Object.assign(rig.context.board.membershipReads, { lastAtMs: -Infinity });
  makeCold(rig, 'a');
  for (let index = 0; index < 20; index += 1) {
    rig.send({ requestId: `request-${index}` });
    rig.call.sent();
  }
  assert.equal(rig.calls.length, 20);
  assert.ok(rig.calls.every(({ upstreamId }) => upstreamId === 'b'));
  assert.match(
    rig.context.metrics.prometheusText(),
    /withheld_from_cold_total\{outcome="sent-elsewhere"\} 20/,
  );
});

test('without a warm engine, requests beyond the allowance are refused at once and called back', () => {
  const rig = createRig({ maxAttempts: 1 }, ['a']);
  makeCold(rig, 'a');
  rig.advance(INTERVAL_MS);
  rig.send();
  rig.call.sent();
  rig.call.head();
  const refused = rig.send({ requestId: 'request-2' });
  assert.equal(rig.calls.length, 1);
  assert.equal(refused.status, 503);
  assert.equal(refused.localReply?.reason, LocalReplyReason.UpstreamsBusy);
  assert.ok((refused.localReply.retryAfterMs ?? 0) > 0);
  rig.advance(INTERVAL_MS);
  rig.send({ requestId: 'request-3' });
  assert.equal(rig.calls.length, 2);
});

test('a cold engine gets no second request of a router while the first is unanswered', () => {
  const rig = createRig(PATIENT, ['a']);
  makeCold(rig, 'a');
  rig.advance(INTERVAL_MS);
  rig.send();
  rig.call.sent();
  rig.advance(2 * INTERVAL_MS);
  assert.equal(rig.send({ requestId: 'request-2' }).status, 503);
  rig.call.head();
  rig.send({ requestId: 'request-3' });
  assert.equal(rig.calls.length, 2);
});

test('a broken stream does not resume at a cold engine beyond the allowance', () => {
  const rig = createRig({ kind: RouteKind.Streaming, resumable: true, maxAttempts: 3, timeoutMs: 10_000 });
  const caller = rig.send({ deadlineMs: 10_000 });
  const first = rig.call;
  makeCold(rig, first.upstreamId === 'a' ? 'b' : 'a');
  first.sent();
  first.head();
  first.data('id: 1\ndata: a\n\n');
  Object.assign(rig.context.board.membershipReads, { lastAtMs: -Infinity });
  first.fail();
  assert.equal(rig.calls.length, 1);
  assert.equal(caller.aborted, true);
});

test('an engine that could not be reached is cold from its first response on', () => {
  const rig = createRig({ maxAttempts: 1 }, ['a']);
  rig.send();
  rig.call.fail(UpstreamFailure.Other);
  const view = viewOf(rig, 'a');
  assert.equal(view.isCold(rig.context.loop.nowMs()), true, 'it may have started again');
  rig.advance(INTERVAL_MS);
  rig.send({ requestId: 'request-2' });
  rig.call.sent();
  rig.call.head();
  rig.call.end();
  assert.equal(view.coldEndMs, rig.context.loop.nowMs() + WARMUP_MS);
  rig.advance(WARMUP_MS);
  rig.send({ requestId: 'request-3' });
  assert.deepEqual(
    rig.logged.filter((message) => message.startsWith('upstream is')),
    ['upstream is cold', 'upstream is warm again'],
  );
});

test('an engine that is silent on all connections is taken for cold, one whose connection breaks is not', () => {
  const rig = createRig(PATIENT);
  rig.send({ deadlineMs: 5_000 });
  const silent = rig.call;
  silent.sent();
  rig.advance(950);
  assert.equal(viewOf(rig, silent.upstreamId).isCold(rig.context.loop.nowMs()), true);
  const broken = createRig({ maxAttempts: 1 }, ['a']);
  broken.send();
  broken.call.sent();
  broken.call.fail();
  assert.equal(viewOf(broken, 'a').isCold(broken.context.loop.nowMs()), false);
});

test('timeouts that expire in a stall of the router say nothing about engines', () => {
  const rig = createRig(PATIENT);
  rig.send({ deadlineMs: 5_000 });
  const first = rig.call;
  first.sent();
  rig.stall(3_000);
  assert.equal(viewOf(rig, first.upstreamId).isCold(rig.context.loop.nowMs()), false);
});

test('a router that has just started, or is without the store, sends nothing to a cold engine', () => {
  for (const reads of [{ firstAtMs: 900 }, { lastAtMs: -2_000 }]) {
    const rig = createRig({}, ['a']);
    Object.assign(rig.context.board.membershipReads, reads);
    makeCold(rig, 'a');
    rig.advance(1_200);
    assert.equal(rig.send().status, 503);
    assert.equal(rig.calls.length, 0);
  }
});

test('without the setting, cold engines are not limited', () => {
  const rig = createRig({}, ['a']);
  Object.assign(rig.context.options, { coldBound: undefined });
  viewOf(rig, 'a').markCold(Infinity);
  rig.send();
  rig.call.sent();
  rig.send({ requestId: 'request-2' });
  assert.equal(rig.calls.length, 2);
});
