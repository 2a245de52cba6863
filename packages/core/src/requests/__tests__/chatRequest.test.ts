import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IncarnationStatus } from '../../blackboard.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { PeerMessageKind, RecordState, RouterState } from '../../types/messages.ts';
import { CallerRequestKind, UpstreamRequestKind } from '../../types/requests.ts';
import { RefusalReason, Verdict } from '../../types/verdict.ts';
import { ENGINES, OTHER_KEY_SHA256, RequestBench } from './requestBench.ts';

const OTHER_ROUTER = {
  routerId: 'r2',
  vmId: 'vm2',
  incarnationId: 'i2',
  region: 'near',
  availabilityZone: 'near-b',
  peerAddress: '127.1.0.2:8081',
};
const LIVE_HEARTBEAT = {
  kind: PeerMessageKind.Heartbeat,
  state: RouterState.Live,
  callerAddress: '127.1.0.2:8080',
  configurationRevision: 1,
  openRequestCount: 0,
  shareLevels: [],
} as const;

test('chunks are relayed once and in order despite duplicates, gaps and late chunks of earlier attempts', () => {
  const bench = new RequestBench();
  const caller = bench.chat();
  const first = bench.open(0).attemptId;
  bench.chunk(first, 0, 'a');
  bench.chunk(first, 0, 'a');
  bench.chunk(first, 2, 'c');
  const second = bench.open(1);
  assert.deepEqual(
    { ...second.request, requestId: '' },
    { kind: 'engineResume', requestId: '', fromIndex: 1 },
  );
  bench.chunk(first, 1, 'late');
  bench.chunk(second.attemptId, 1, 'b');
  bench.finish(second.attemptId, 2);
  assert.equal(bench.streamedText(caller), 'ab!');
  assert.match(bench.receivedData(caller), /"total_tokens":4.*data: \[DONE\]\n\n$/s);
  assert.deepEqual(bench.ledger, ['reserve 134', 'replicate', 'replicate', 'complete 16']);
});

// If the response ended first, a router crash before the usage is recorded would lose the bill.
test('the response ends only after the usage is recorded', () => {
  const bench = new RequestBench();
  bench.completeDelayMs = 200;
  const caller = bench.chat();
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  bench.finish(bench.open(0).attemptId, 1);
  assert.doesNotMatch(bench.receivedData(caller), /DONE/);
  bench.advance(250);
  assert.match(bench.receivedData(caller), /DONE/);
});

test('a router without a configuration refuses requests as not run and sends a retry delay', () => {
  const bench = new RequestBench(false);
  const problem = bench.problem(bench.chat());
  assert.equal(problem?.reason, RefusalReason.NotReady);
  assert.equal(problem.verdict, Verdict.DidNotRun);
  assert.equal(problem.retryAfterSeconds, 1);
});

test('a refused connection moves the request to another engine; with none left, it is reported as not run', () => {
  const bench = new RequestBench();
  const caller = bench.chat();
  bench.fail(bench.open(0).attemptId, false);
  assert.notEqual(bench.open(1).address, bench.open(0).address);
  bench.fail(bench.open(1).attemptId, false);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  assert.equal(bench.ledger.at(-1), 'release');
});

test('a connection lost after bytes were sent is retried once and never reported as not run', () => {
  const bench = new RequestBench();
  bench.addEngines('127.1.0.33:8400', '127.1.0.34:8400');
  const caller = bench.chat();
  bench.fail(bench.open(0).attemptId, true);
  assert.equal(bench.ofKind(EffectKind.UpstreamCancel)[0]?.stopExecution, true);
  assert.equal(bench.open(1).request.kind, UpstreamRequestKind.EngineStart);
  bench.fail(bench.open(1).attemptId, true);
  assert.ok(bench.opens.slice(2).every(({ request }) => request.kind === UpstreamRequestKind.EngineResume));
  bench.fail(bench.open(2).attemptId, false);
  assert.equal(
    bench.opens.filter(({ request }) => request.kind === UpstreamRequestKind.EngineStart).length,
    2,
  );
  assert.equal(bench.problem(caller)?.verdict, Verdict.MayHaveRun);
  assert.equal(bench.ledger.at(-1), 'complete 0');
});

// An answer must never reach a request with another body or of another organisation.
test('callers with the same idempotency key share one execution', () => {
  const bench = new RequestBench();
  const first = bench.chat({ idempotencyKey: 'k' });
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  const second = bench.chat({ idempotencyKey: 'k' }, 'hello', 'small', false);
  const other = bench.chat({ idempotencyKey: 'k' }, 'different');
  bench.chat({ idempotencyKey: 'k', keySha256: OTHER_KEY_SHA256 });
  bench.finish(bench.open(0).attemptId, 1);
  assert.equal(bench.problem(other)?.reason, RefusalReason.IdentityInUse);
  assert.equal(bench.streamedText(first), 'a!');
  assert.equal(bench.streamedText(second), 'a!');
  assert.equal(bench.opens.length, 2);
  assert.notEqual(bench.open(0).request.requestId, bench.open(1).request.requestId);
});

test('a billed answer is replayed from its engine and not billed again', () => {
  const bench = new RequestBench();
  bench.chat({ idempotencyKey: 'k' });
  bench.finish(bench.open(0).attemptId, 0);
  const again = bench.chat({ idempotencyKey: 'k' });
  assert.equal(bench.open(1).request.kind, UpstreamRequestKind.EngineResume);
  bench.finish(bench.open(1).attemptId, 0);
  assert.equal(bench.streamedText(again), '!');
  const reused = bench.chat({ idempotencyKey: 'k' }, 'different');
  assert.equal(bench.problem(reused)?.reason, RefusalReason.IdentityInUse);
  const gone = bench.chat({ idempotencyKey: 'k' });
  bench.send({ kind: EventKind.UpstreamStarted, attemptId: bench.open(2).attemptId, status: 404 });
  assert.equal(bench.problem(gone)?.verdict, Verdict.Ran);
  assert.deepEqual(bench.ledger, ['reserve 134', 'replicate', 'complete 16']);
});

test('a disconnect without an idempotency key cancels the execution and bills the counts of the engine', () => {
  const bench = new RequestBench();
  const exchangeId = bench.chat();
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  bench.send({ kind: EventKind.CallerGone, exchangeId });
  assert.equal(bench.ofKind(EffectKind.UpstreamCancel)[0]?.stopExecution, true);
  bench.finish(bench.open(0).attemptId, 9, 5);
  assert.equal(bench.ledger.at(-1), 'complete 56');
});

test('a disconnect with an idempotency key keeps the execution for the resume window, and a retry joins it', () => {
  const bench = new RequestBench();
  const exchangeId = bench.chat({ idempotencyKey: 'k' });
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  bench.send({ kind: EventKind.CallerGone, exchangeId });
  bench.advance(9_000);
  const returned = bench.chat({ idempotencyKey: 'k' });
  bench.advance(9_000);
  assert.equal(bench.ofKind(EffectKind.UpstreamCancel).length, 0);
  bench.send({ kind: EventKind.CallerGone, exchangeId: returned });
  bench.advance(10_000);
  assert.equal(bench.ofKind(EffectKind.UpstreamCancel).length, 1);
  bench.advance(1_250);
  // Without counts from the engine, the bill covers a quarter of the bound of 17 prompt tokens, rounded up to 5,
  // and one relayed chunk.
  assert.equal(bench.ledger.at(-1), 'complete 20');
});

test('a request that exceeds the share is redirected once to a peer that covers it', () => {
  const bench = new RequestBench();
  bench.reserveFailure = { reason: RefusalReason.BudgetExhausted, redirectAddress: '127.1.0.2:8080' };
  bench.chat({ target: '/v1/chat/completions' });
  const start = bench.ofKind(EffectKind.CallerStart)[0];
  assert.equal(start?.status, 307);
  assert.equal(start.headers.Location, 'http://127.1.0.2:8080/v1/chat/completions?hop=1');
  const redirected = bench.chat({ redirected: true });
  assert.equal(bench.problem(redirected)?.reason, RefusalReason.BudgetExhausted);
  assert.equal(bench.problem(redirected)?.verdict, Verdict.DidNotRun);
});

test('a retry resumes the stream of a crashed router, whose records count as evidence for the verdict', () => {
  const bench = new RequestBench();
  const record = {
    requestId: 'school:k',
    organisationId: 'school',
    incarnationId: 'dead',
    state: RecordState.Reserved,
    amountMicros: 134,
    upstreamAddress: ENGINES[1],
  };
  bench.peerRecords = { records: [record], runningAddress: undefined };
  bench.chat({ idempotencyKey: 'k' });
  assert.equal(bench.open(0).address, ENGINES[1]);
  assert.equal(bench.open(0).request.kind, UpstreamRequestKind.EngineResume);
  bench.reserveFailure = { reason: RefusalReason.StoreUnavailable, redirectAddress: undefined };
  assert.equal(bench.problem(bench.chat({ idempotencyKey: 'k2' }))?.verdict, Verdict.MayHaveRun);
});

test('a paused router dispatches no request', () => {
  const bench = new RequestBench();
  bench.core.board.incarnationStatus = IncarnationStatus.Unconfirmed;
  const caller = bench.chat();
  assert.equal(bench.opens.length, 0);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.Paused);
  assert.equal(bench.problem(caller)?.verdict, Verdict.DidNotRun);
  assert.equal(bench.ledger.at(-1), 'release');
});

test('a new incarnation does not use a reservation of the fenced one', () => {
  const bench = new RequestBench();
  bench.chat();
  bench.chat();
  const queued = bench.chat();
  bench.core.board.incarnationId = 'next';
  bench.finish(bench.open(0).attemptId, 0);
  assert.equal(bench.opens.length, 2);
  assert.equal(bench.problem(queued)?.reason, RefusalReason.Paused);
});

test('a request past the deadline of its class is cancelled and refused with its verdict', () => {
  const bench = new RequestBench();
  const caller = bench.chat();
  bench.advance(31_250);
  assert.equal(bench.ofKind(EffectKind.UpstreamCancel)[0]?.stopExecution, true);
  assert.equal(bench.problem(caller)?.reason, RefusalReason.DeadlineExceeded);
  assert.equal(bench.problem(caller)?.verdict, Verdict.MayHaveRun);
});

test('the queue is bounded, sheds batch requests first and serves by priority', () => {
  const bench = new RequestBench();
  bench.chat();
  bench.chat();
  const queuedBatch = bench.chat({}, 'hello', 'batch');
  const secondBatch = bench.chat({}, 'hello', 'batch');
  assert.equal(bench.problem(secondBatch)?.reason, RefusalReason.QueueFull);
  bench.chat();
  bench.finish(bench.open(0).attemptId, 0);
  const { request } = bench.open(2);
  assert.ok(request.kind === UpstreamRequestKind.EngineStart && request.model === 'small');
  bench.chat();
  assert.equal(bench.problem(queuedBatch), undefined);
  bench.chat();
  assert.equal(bench.problem(queuedBatch)?.reason, RefusalReason.QueueFull);
  assert.equal(bench.problem(queuedBatch)?.verdict, Verdict.DidNotRun);
  assert.equal(bench.problem(bench.chat())?.reason, RefusalReason.QueueFull);
});

test('a draining router refuses requests as not run and still answers entry and health requests', () => {
  const bench = new RequestBench();
  bench.core.board.routerState = RouterState.Draining;
  bench.core.board.acceptsRequests = false;
  bench.send({ kind: EventKind.PeerReceived, sender: OTHER_ROUTER, message: LIVE_HEARTBEAT });
  const problem = bench.problem(bench.chat());
  assert.equal(problem?.reason, RefusalReason.Draining);
  assert.equal(problem.verdict, Verdict.DidNotRun);
  const entry = bench.sendRequest({ kind: CallerRequestKind.Entry });
  assert.equal(bench.receivedData(entry), '{"addresses":["127.1.0.2:8080"],"keepMs":5000}');
  assert.match(bench.receivedData(bench.sendRequest({ kind: CallerRequestKind.Health })), /"ready":false/);
});

test('durations, answers and refusals are emitted as metrics', () => {
  const bench = new RequestBench();
  bench.chat();
  bench.advance(100);
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  bench.advance(20);
  bench.finish(bench.open(0).attemptId, 1);
  bench.core.board.acceptsRequests = false;
  bench.chat();
  const measured = bench.ofKind(EffectKind.Metric).map(({ metric, value, label }) => [metric, value, label]);
  assert.deepEqual(measured, [
    ['queueWait', 0, ''],
    ['timeToFirstToken', 100, ''],
    ['timeBetweenTokens', 20, ''],
    ['answered', 1, ''],
    ['totalTime', 120, ''],
    ['refused', 1, 'draining'],
  ]);
});
