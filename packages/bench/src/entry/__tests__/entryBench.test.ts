import assert from 'node:assert/strict';
import { test } from 'node:test';
import { measureEntry } from '../measureEntry.ts';

test('a leaving router moves only its own organisations, while a modulo would move nearly all', () => {
  const figures = measureEntry({ routerCount: 20, organisationCount: 100, requests: 40, seed: 1 });
  assert.ok(figures.drainOrDeath.organisations < 0.3);
  assert.equal(figures.holdersWithEntryAnswers, 2);
  assert.ok(figures.holdersWithoutEntryAnswers > 2);
});
