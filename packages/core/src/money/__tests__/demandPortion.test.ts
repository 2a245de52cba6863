import assert from 'node:assert/strict';
import { test } from 'node:test';
import { demandPortion, updatePortion } from '../demandPortion.ts';
import { fleetOf, ORGANISATION } from './fleet.ts';
import { getOrCreateLedger } from '../shares.ts';

const WORST_CASE_MICROS = 1;

// Guards against a portion that ignores demand on other routers or counts settlements of an earlier incarnation.
test('the portion is 1 without settlements elsewhere, then follows recent settlements', () => {
  const { nodes } = fleetOf('a');
  const [node] = nodes;
  assert.ok(node);
  const ledger = getOrCreateLedger(node.context, ORGANISATION);
  updatePortion(ledger, { ownSettledMicros: 0, totalSettledMicros: 1e9, nowMs: 0 });
  assert.equal(demandPortion(ledger, WORST_CASE_MICROS), 1);
  updatePortion(ledger, { ownSettledMicros: 25_000, totalSettledMicros: 1e9 + 100_000, nowMs: 1_000 });
  assert.ok(Math.abs(demandPortion(ledger, WORST_CASE_MICROS) - 0.25) < 0.01);
  const laterMs = 3_600_000;
  updatePortion(ledger, { ownSettledMicros: 115_000, totalSettledMicros: 1e9 + 200_000, nowMs: laterMs });
  assert.ok(Math.abs(demandPortion(ledger, WORST_CASE_MICROS) - 0.9) < 0.01);
});
