import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RefusalReason, Verdict } from '../../types/verdict.ts';
import { RequestBench } from './requestBench.ts';

test('a streamed answer is relayed in order and once despite duplicates, gaps and late attempts', () => {
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
  assert.match(bench.received(caller), /"total_tokens":4.*data: \[DONE\]\n\n$/s);
  assert.deepEqual(bench.ledger, ['reserve 134', 'protect', 'protect', 'complete 16']);
});

test('the last byte waits until the usage is recorded, or a death of the router would lose the bill', () => {
  const bench = new RequestBench();
  bench.completeDelayMs = 200;
  const caller = bench.chat();
  bench.chunk(bench.open(0).attemptId, 0, 'a');
  bench.finish(bench.open(0).attemptId, 1);
  assert.doesNotMatch(bench.received(caller), /DONE/);
  bench.advance(250);
  assert.match(bench.received(caller), /DONE/);
});

test('a router without configuration refuses truthfully and says when to come back', () => {
  const bench = new RequestBench(false);
  const problem = bench.problem(bench.chat());
  assert.equal(problem?.reason, RefusalReason.NotReady);
  assert.equal(problem.verdict, Verdict.DidNotRun);
  assert.equal(problem.retryAfterSeconds, 1);
});
