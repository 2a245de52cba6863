import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TableOutcomeKind } from '../../types/table.ts';
import { RequestBench } from './requestBench.ts';

test('a non-idempotent call is sent only under its claim and answered whole', () => {
  const bench = new RequestBench();
  const caller = bench.call('POST', '/orders/1');
  assert.equal(bench.opens.length, 0);
  bench.tableReply(bench.lastCommit().callId, { kind: TableOutcomeKind.Committed });
  bench.answer(bench.open(0).attemptId);
  assert.equal(bench.received(caller), 'done');
  assert.deepEqual(bench.ledger, ['reserve 2000', 'protect', 'complete 2000']);
});
