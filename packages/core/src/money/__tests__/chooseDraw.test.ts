import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { chooseDraw, targetMicros } from '../chooseDraw.ts';

const micros = fc.integer({ min: 0, max: 1_000_000_000 });
const inputs = fc
  .record({
    demandMicrosPerSecond: fc.double({ min: 0, max: 1e6, noNaN: true }),
    horizonMs: fc.constantFrom(60_000, 3_600_000),
    worstCaseMicros: micros,
    waitingMicros: micros,
    availableMicros: micros,
    fundedMicros: micros,
    freeMicros: micros,
    drawFraction: fc.double({ min: 0.01, max: 1, noNaN: true }),
  })
  .map((input) => ({ ...input, fundedMicros: input.fundedMicros + input.freeMicros }));

test('a draw never exceeds the remainder, and covers a worst case whenever the remainder does', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      const amount = chooseDraw(input);
      assert.ok(Number.isSafeInteger(amount) && amount >= 0 && amount <= input.freeMicros);
      const shortMicros = input.worstCaseMicros - input.availableMicros;
      if (shortMicros > 0 && shortMicros <= input.freeMicros) {
        assert.ok(amount >= shortMicros);
      }
      const boundMicros = Math.max(shortMicros, input.drawFraction * input.freeMicros);
      assert.ok(amount <= Math.max(0, boundMicros), 'one draw must leave money for the other routers');
    }),
  );
});

test('the far horizon asks for an hour of demand, the near one for a minute', () => {
  const demand = { demandMicrosPerSecond: 10, worstCaseMicros: 1 };
  assert.equal(targetMicros({ ...demand, horizonMs: 60_000 }), 600);
  assert.equal(targetMicros({ ...demand, horizonMs: 3_600_000 }), 36_000);
});

test('near exhaustion a draw takes a smaller part of the remainder', () => {
  const input = {
    demandMicrosPerSecond: 1e6,
    horizonMs: 60_000,
    worstCaseMicros: 10,
    waitingMicros: 0,
    availableMicros: 0,
    fundedMicros: 1_000_000,
    drawFraction: 0.25,
  };
  assert.equal(chooseDraw({ ...input, freeMicros: 800_000 }), 200_000);
  assert.equal(chooseDraw({ ...input, freeMicros: 100_000 }), 12_500);
});

// Guards against a router that keeps money for itself while the same demand elsewhere finds the budget empty.
test('the cap bounds the target, and a cap below a few worst cases keeps nothing in advance', () => {
  const input = { demandMicrosPerSecond: 100, horizonMs: 3_600_000, worstCaseMicros: 10 };
  assert.equal(targetMicros({ ...input, capMicros: 5_000 }), 5_000);
  assert.equal(targetMicros({ ...input, capMicros: 39 }), 0);
});
