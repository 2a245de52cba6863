import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EffectKind } from '../../types/effects.ts';
import { RequestBench } from './requestBench.ts';

const TEXTS = ['a', 'b', 'c', 'd', 'e'];
const LAST = TEXTS.length;

/** A chunk of any attempt so far, in any order, or the loss of an attempt. */
const deliveries = fc.array(
  fc.record({ attempt: fc.nat(5), index: fc.nat(LAST), lost: fc.integer({ min: 0, max: 9 }) }),
  { maxLength: 40 },
);

test('a caller gets a prefix of its answer, once and in order, whatever order and attempts chunks come in', () => {
  const property = fc.property(deliveries, (steps) => {
    const bench = new RequestBench();
    const caller = bench.chat();
    for (const { attempt, index, lost } of steps) {
      const { attemptId } = bench.open(attempt % bench.opens.length);
      if (lost === 0) {
        bench.fail(attemptId, true);
      } else if (index === LAST) {
        bench.finish(attemptId, index);
      } else {
        bench.chunk(attemptId, index, TEXTS[index] ?? '');
      }
    }
    const whole = `${TEXTS.join('')}!`;
    const text = bench.streamedText(caller);
    assert.ok(whole.startsWith(text));
    const isComplete = bench.received(caller).endsWith('[DONE]\n\n');
    assert.equal(isComplete, text === whole);
    const ends = bench.ofKind(EffectKind.CallerEnd).length + bench.ofKind(EffectKind.CallerProblem).length;
    assert.ok(ends <= 1);
    const bills = bench.ledger.filter((entry) => entry === 'release' || entry.startsWith('complete'));
    assert.equal(bills.length, ends);
  });
  fc.assert(property, { seed: 5, numRuns: 500 });
});
