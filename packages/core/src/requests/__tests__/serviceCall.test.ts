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

/** Replies to the last commit with a conflict that returns a row. */
function conflict(bench: RequestBench, value: JsonValue): void {
  const { callId, transaction } = bench.lastCommit();
  const key = transaction.checks[0]?.key ?? '';
  bench.tableReply(callId, { kind: TableOutcomeKind.Conflict, rows: [{ key, version: 1, value }] });
}

function lastWrittenValue(bench: RequestBench): Record<string, JsonValue> {
  return bench.lastCommit().transaction.writes[0]?.value as Record<string, JsonValue>;
}

/** Replies to the last read with a claim row. */
function replyWithClaim(
  bench: RequestBench,
  change: Record<string, JsonValue>,
  base = lastWrittenValue(bench),
): void {
  const { callId, keys } = bench.lastRead();
  const rows = [{ key: keys[0] ?? '', version: 1, value: { ...base, ...change } }];
  bench.tableReply(callId, { kind: TableOutcomeKind.Rows, rows });
}

test('a non-idempotent call is sent only after its claim, and recording its outcome is retried until confirmed', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  assert.equal(bench.opens.length, 0);
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  const claimed = lastWrittenValue(bench);
  bench.respondToCall(bench.open(0).attemptId);
  assert.equal(bench.receivedData(caller), 'done');
  assert.deepEqual(bench.ledger, ['reserve 2000', 'replicate', 'complete 2000']);
  bench.advance(2_000);
  replyWithClaim(bench, {}, claimed);
  bench.tableReply(bench.lastCommit().callId, { kind: TableOutcomeKind.Unknown });
  bench.advance(1_500);
  replyWithClaim(bench, {}, claimed);
  assert.equal(lastWrittenValue(bench).state, 'done');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  const commitCount = bench.ofKind(EffectKind.TableCommit).length;
  bench.advance(20_000);
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, commitCount);
});

test('after a lost commit reply, the conflict proves that the claim is held and the call is sent once', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, { kind: TableOutcomeKind.Unknown });
  assert.equal(bench.opens.length, 0);
  conflict(bench, lastWrittenValue(bench));
  assert.equal(bench.opens.length, 1);
});

// Without a recorded outcome, the call of the other request may have run.
test('a call claimed by another request is not executed again and its recorded outcome is replayed', () => {
  const bench = new RequestBench();
  const racing = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  bench.tableReply(bench.lastRead().callId, NO_ROWS);
  conflict(bench, { ...lastWrittenValue(bench), claimantId: 'other' });
  assert.equal(bench.problem(racing)?.verdict, Verdict.MayHaveRun);
  const later = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  const outcome = { status: 201, body: 'recorded', contentType: 'text/plain' };
  replyWithClaim(bench, { state: 'done', outcome });
  assert.equal(bench.receivedData(later), 'recorded');
  const changed = bench.call('POST', '/orders/1', { idempotencyKey: 'k' }, '{"count":2}');
  replyWithClaim(bench, { state: 'done', outcome });
  assert.equal(bench.problem(changed)?.reason, RefusalReason.IdentityInUse);
  assert.equal(bench.opens.length, 0);
  assert.deepEqual(bench.ledger, ['reserve 2000', 'replicate', 'release']);
});

test('a router that was paused between claim and dispatch releases the claim without sending the call', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.core.board.incarnationStatus = IncarnationStatus.Unconfirmed;
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  assert.equal(bench.opens.length, 0);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.Paused);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  replyWithClaim(bench, {});
  assert.equal(lastWrittenValue(bench).state, 'released');
});

// A row version that restarted would let a delayed commit overwrite the new claim.
test('a new claim replaces a released one at its row version', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  replyWithClaim(bench, { state: 'released' }, { claimantId: 'x', bodyHash: '', outcome: null });
  assert.equal(bench.lastCommit().transaction.checks[0]?.expectedVersion, 1);
});

test('a non-idempotent call is refused as not run while the store is unavailable', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.advance(4_000);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.StoreUnavailable);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  assert.equal(bench.opens.length, 0);
});

test('releasing an unconfirmed claim does not overwrite the claim of another request', () => {
  const bench = new RequestBench();
  bench.call('POST', '/orders/1');
  bench.advance(3_250);
  const commitCount = bench.ofKind(EffectKind.TableCommit).length;
  replyWithClaim(bench, { claimantId: 'other' });
  bench.advance(4_000);
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, commitCount);
});

test('a non-idempotent call that may have reached the service is not retried', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  bench.fail(bench.open(0).attemptId, true);
  assert.equal(bench.opens.length, 1);
  assert.equal(bench.problem(caller)?.verdict, Verdict.MayHaveRun);
});

test('an idempotent call is retried only within the retry budget', () => {
  const bench = new RequestBench();
  const caller = bench.call('GET', '/stock/1');
  bench.fail(bench.open(0).attemptId, true);
  bench.respondToCall(bench.open(1).attemptId);
  assert.equal(bench.receivedData(caller), 'done');
  bench.core.board.requests.retryBudget.availableRetries = 0.5;
  bench.call('GET', '/stock/1');
  bench.fail(bench.open(2).attemptId, true);
  assert.equal(bench.opens.length, 3);
});

test('an upstream is ejected after consecutive failures', () => {
  const bench = new RequestBench();
  const startCall = (): string => {
    bench.call('GET', '/stock/1');
    return bench.opens.at(-1)?.address ?? '';
  };
  const address = startCall();
  const info = bench.core.board.routing.upstreams.get(address);
  assert.ok(info !== undefined);
  info.consecutiveFailures = 2;
  bench.fail(bench.open(0).attemptId, true);
  assert.ok(info.ejectedUntilMs > bench.nowMs);
  for (let count = 0; count < 3; count += 1) {
    assert.notEqual(startCall(), address);
  }
});

test('a lost call to a service that honours the key is retried with the same key and without a claim', () => {
  const bench = new RequestBench();
  const { configuration } = bench.core.board;
  const service = configuration?.plainServiceById.get('orders');
  assert.ok(configuration !== undefined && service !== undefined);
  const plainServiceById = new Map([['orders', { ...service, honoursKey: true }]]);
  bench.core.board.configuration = { ...configuration, plainServiceById };
  const caller = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  bench.fail(bench.open(0).attemptId, true);
  assert.equal(bench.open(1).request.requestId, bench.open(0).request.requestId);
  bench.respondToCall(bench.open(1).attemptId);
  assert.equal(bench.receivedData(caller), 'done');
  assert.equal(bench.ofKind(EffectKind.TableCommit).length, 0);
});

test('a response that is too long to record is relayed, and a retry is told that the call ran', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  bench.tableReply(bench.lastCommit().callId, COMMITTED);
  bench.respondToCall(bench.open(0).attemptId, 200, 'x'.repeat(70_000));
  assert.equal(bench.receivedData(caller).length, 70_000);
  replyWithClaim(bench, {});
  const done = lastWrittenValue(bench);
  assert.equal(done.outcome, null);
  const retry = bench.call('POST', '/orders/1', { idempotencyKey: 'k' });
  replyWithClaim(bench, {}, done);
  assert.equal(bench.problem(retry)?.verdict, Verdict.Ran);
  assert.equal(bench.opens.length, 1);
});
