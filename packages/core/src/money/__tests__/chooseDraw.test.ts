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

test('a draw never exceeds the unallocated amount, and covers the worst case whenever that amount does', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      const drawMicros = chooseDraw(input);
      assert.ok(Number.isSafeInteger(drawMicros) && drawMicros >= 0 && drawMicros <= input.freeMicros);
      const shortfallMicros = input.worstCaseMicros - input.availableMicros;
      if (shortfallMicros > 0 && shortfallMicros <= input.freeMicros) {
        assert.ok(drawMicros >= shortfallMicros);
      }
      const maximumMicros = Math.max(shortfallMicros, input.drawFraction * input.freeMicros);
      assert.ok(drawMicros <= Math.max(0, maximumMicros), 'one draw must leave money for the other routers');
    }),
  );
});

test('the target covers an hour of demand at the far horizon and a minute at the near one', () => {
  const demand = { demandMicrosPerSecond: 10, worstCaseMicros: 1 };
  assert.equal(targetMicros({ ...demand, horizonMs: 60_000 }), 600);
  assert.equal(targetMicros({ ...demand, horizonMs: 3_600_000 }), 36_000);
});

test('near exhaustion a draw takes a smaller part of the unallocated amount', () => {
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

// Guards against a router that holds more than its demand while other routers find the budget exhausted.
test('the cap bounds the target, and a cap below a few worst cases makes the target zero', () => {
  const input = { demandMicrosPerSecond: 100, horizonMs: 3_600_000, worstCaseMicros: 10 };
  assert.equal(targetMicros({ ...input, capMicros: 5_000 }), 5_000);
  assert.equal(targetMicros({ ...input, capMicros: 39 }), 0);
});
