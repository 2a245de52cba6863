import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IncarnationStatus } from '../../blackboard.ts';
import { EffectKind } from '../../types/effects.ts';
import type { JsonValue } from '../../types/table.ts';
import { TableOutcomeKind } from '../../types/table.ts';
import { RefusalReason, Verdict } from '../../types/verdict.ts';
import { RequestBench } from './requestBench.ts';

const COMMITTED = { kind: TableOutcomeKind.Committed } as const;
const NO_ROWS = { kind: TableOutcomeKind.Rows, rows: [] } as const;

/** Answers the last commit with a conflict that shows a row. */
function conflict(bench: RequestBench, value: JsonValue): void {
  const { callId, transaction } = bench.lastCommit();
  const key = transaction.checks[0]?.key ?? '';
  bench.tableReply(callId, { kind: TableOutcomeKind.Conflict, rows: [{ key, version: 1, value }] });
}

function lastWritten(bench: RequestBench): Record<string, JsonValue> {
  return bench.lastCommit().transaction.writes[0]?.value as Record<string, JsonValue>;
}

/** Answers the read of the claim and shows a row. */
function showClaim(bench: RequestBench, change: Record<string, JsonValue>, base = lastWritten(bench)): void {
  const { callId, keys } = bench.lastRead();
  const rows = [{ key: keys[0] ?? '', version: 1, value: { ...base, ...change } }];
  bench.tableReply(callId, { kind: TableOutcomeKind.Rows, rows });
}

test('a non-idempotent call is sent only under its claim, and its outcome is recorded until the table has it', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  assert.equal(bench.opens.length, 0);
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  const claimed = lastWritten(bench);
  bench.answer(bench.open(0).attemptId);
  assert.equal(bench.received(caller), 'done');
  assert.deepEqual(bench.ledger, ['reserve 2000', 'protect', 'complete 2000']);
  bench.advance(2_000);
  showClaim(bench, {}, claimed);
  bench.tableReply(bench.lastCommit().callId, { kind: TableOutcomeKind.Unknown });
  bench.advance(1_500);
  showClaim(bench, {}, claimed);
  assert.equal(lastWritten(bench).state, 'done');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  const commitCount = bench.ofKind(EffectKind.TableCommit).length;
  bench.advance(20_000);
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, commitCount);
});

test('a claim whose answer was lost is found by its claimant, and the call is sent once', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, { kind: TableOutcomeKind.Unknown });
  assert.equal(bench.opens.length, 0);
  conflict(bench, lastWritten(bench));
  assert.equal(bench.opens.length, 1);
});

test('a claim of another arrival is never run again: its outcome is repeated, else it may have run', () => {
  const bench = new RequestBench();
  const racing = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  bench.tableReply(bench.lastRead().callId, NO_ROWS);
  conflict(bench, { ...lastWritten(bench), claimantId: 'other' });
  assert.equal(bench.problem(racing)?.verdict, Verdict.MayHaveRun);
  const later = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  const outcome = { status: 201, body: 'recorded', contentType: 'text/plain' };
  showClaim(bench, { state: 'done', outcome });
  assert.equal(bench.received(later), 'recorded');
  const changed = bench.call('POST', '/orders/1', { idempotencyKey: 'k' }, '{"count":2}');
  showClaim(bench, { state: 'done', outcome });
  assert.equal(bench.problem(changed)?.reason, RefusalReason.IdentityInUse);
  assert.equal(bench.opens.length, 0);
  assert.deepEqual(bench.ledger, ['reserve 2000', 'protect', 'release']);
});

test('a router that was paused between claim and dispatch does not send the call', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.core.board.incarnationStatus = IncarnationStatus.Unconfirmed;
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  assert.equal(bench.opens.length, 0);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.Paused);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  showClaim(bench, {});
  assert.equal(lastWritten(bench).state, 'released');
});

test('a released claim is taken again at its version, so that a delayed commit cannot replace it', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  showClaim(bench, { state: 'released' }, { claimantId: 'x', bodyHash: '', outcome: null });
  assert.equal(bench.lastCommit().transaction.checks[0]?.expectedVersion, 1);
});

test('without the store a non-idempotent call is refused as not run', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.advance(4_000);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.StoreUnavailable);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  assert.equal(bench.opens.length, 0);
});

test('a claim that was not proven is not released in place of the claim of another arrival', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1');
  bench.advance(3_250);
  const commitCount = bench.ofKind(EffectKind.TableCommit).length;
  showClaim(bench, { claimantId: 'other' });
  bench.advance(4_000);
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, commitCount);
});

test('a non-idempotent call that may have reached the service is not repeated', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  bench.fail(bench.open(0).attemptId, true);
  assert.equal(bench.opens.length, 1);
  assert.equal(bench.problem(caller)?.verdict, Verdict.MayHaveRun);
});

test('an idempotent call is repeated, but only within the retry budget', () => {
  const bench = new RequestBench();
  const caller = bench.call('GET', '/stock/1');
  bench.fail(bench.open(0).attemptId, true);
  bench.answer(bench.open(1).attemptId);
  assert.equal(bench.received(caller), 'done');
  bench.core.board.requests.retryBudget.availableRetries = 0.5;
  bench.call('GET', '/stock/1');
  bench.fail(bench.open(2).attemptId, true);
  assert.equal(bench.opens.length, 3);
});

test('an upstream that fails again and again is ejected for a while', () => {
  const bench = new RequestBench();
  const failing = (): string => {
    bench.call('GET', '/stock/1');
    return bench.opens.at(-1)?.address ?? '';
  };
  const address = failing();
  const info = bench.core.board.routing.upstreams.get(address);
  assert.ok(info !== undefined);
  info.consecutiveFailures = 2;
  bench.fail(bench.open(0).attemptId, true);
  assert.ok(info.ejectedUntilMs > bench.nowMs);
  for (let count = 0; count < 3; count += 1) {
    assert.notEqual(failing(), address);
  }
});

test('a service that honours the key gets a lost call again with the same key and without a claim', () => {
  const bench = new RequestBench();
  const { configuration } = bench.core.board;
  const service = configuration?.plainServiceById.get('orders');
  assert.ok(configuration !== undefined && service !== undefined);
  const plainServiceById = new Map([['orders', { ...service, honoursKey: true }]]);
  bench.core.board.configuration = { ...configuration, plainServiceById };
  const caller = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  bench.fail(bench.open(0).attemptId, true);
  assert.equal(bench.open(1).request.requestId, bench.open(0).request.requestId);
  bench.answer(bench.open(1).attemptId);
  assert.equal(bench.received(caller), 'done');
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, 0);
});

test('an answer that is too long to record is relayed, and a retry learns that the call ran', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  bench.answer(bench.open(0).attemptId, 200, 'x'.repeat(70_000));
  assert.equal(bench.received(caller).length, 70_000);
  showClaim(bench, {});
  const done = lastWritten(bench);
  assert.equal(done.outcome, null);
  const retry = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  showClaim(bench, {}, done);
  assert.equal(bench.problem(retry)?.verdict, Verdict.Ran);
  assert.equal(bench.opens.length, 1);
});
