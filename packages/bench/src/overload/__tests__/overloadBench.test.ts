import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runOverload } from '../runOverload.ts';

test('every refusal under overload carries a verdict, and no task of a core fails', () => {
  const figures = runOverload({ seed: 1, durationMs: 2_500 });
  assert.equal(figures.withoutVerdict, 0);
  assert.equal(figures.defects, 0);
  assert.ok((figures.classes.interactive?.answered ?? 0) > 0);
});
