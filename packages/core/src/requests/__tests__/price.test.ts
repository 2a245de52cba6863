import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { billMicros, maxPromptTokens, outputLimit, worstCaseMicros } from '../price.ts';

const RULE = {
  model: 'small',
  classId: 'chat',
  promptMicrosPerToken: 0.3,
  outputMicrosPerToken: 7,
  maxOutputTokens: 64,
};

test('the prompt token bound is at least the number of UTF-8 bytes for text in any script', () => {
  const property = fc.property(fc.string({ unit: 'grapheme' }), (content) => {
    assert.ok(maxPromptTokens([{ role: 'user', content }]) >= new TextEncoder().encode(content).length);
  });
  fc.assert(property, { seed: 3 });
});

test('a bill is an integer within the reservation for any counts that a faulty engine reports', () => {
  const counts = fc.oneof(fc.integer(), fc.double());
  const property = fc.property(counts, counts, fc.option(counts), (promptTokens, outputTokens, wanted) => {
    const limit = outputLimit(RULE, wanted ?? undefined);
    const reservedMicros = worstCaseMicros(RULE, [{ role: 'user', content: 'hello' }], limit);
    const usedMicros = billMicros(RULE, { promptTokens, outputTokens }, reservedMicros);
    assert.ok(Number.isSafeInteger(usedMicros) && usedMicros >= 0 && usedMicros <= reservedMicros);
    assert.ok(limit >= 1 && limit <= RULE.maxOutputTokens);
  });
  fc.assert(property, { seed: 4, examples: [[NaN, 1, null]] });
});
