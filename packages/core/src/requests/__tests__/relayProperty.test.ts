import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EffectKind } from '../../types/effects.ts';
import { RequestBench } from './requestBench.ts';

const TEXTS = ['a', 'b', 'c', 'd', 'e'];
const LAST_INDEX = TEXTS.length;

/** Chunks of any earlier attempt in any order, and lost attempts. */
const arbitrarySteps = fc.array(
  fc.record({ attempt: fc.nat(5), index: fc.nat(LAST_INDEX), lost: fc.integer({ min: 0, max: 9 }) }),
  { maxLength: 40 },
);

test('for chunks of any attempts in any order, a caller receives a prefix of its answer once and in order', () => {
  const property = fc.property(arbitrarySteps, (steps) => {
    const bench = new RequestBench();
    const caller = bench.chat();
    for (const { attempt, index, lost } of steps) {
      const { attemptId } = bench.open(attempt % bench.opens.length);
      if (lost === 0) {
        bench.fail(attemptId, true);
      } else if (index === LAST_INDEX) {
        bench.finish(attemptId, index);
      } else {
        bench.chunk(attemptId, index, TEXTS[index] ?? '');
      }
    }
    const wholeText = `${TEXTS.join('')}!`;
    const text = bench.streamedText(caller);
    assert.ok(wholeText.startsWith(text));
    const isComplete = bench.receivedData(caller).endsWith('[DONE]\n\n');
    assert.equal(isComplete, text === wholeText);
    const endCount =
      bench.ofKind(EffectKind.CallerEnd).length + bench.ofKind(EffectKind.CallerProblem).length;
    assert.ok(endCount <= 1);
    const bills = bench.ledger.filter((entry) => entry === 'release' || entry.startsWith('complete'));
    assert.equal(bills.length, endCount);
  });
  fc.assert(property, { seed: 5, numRuns: 500 });
});
