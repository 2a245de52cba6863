import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { readQuarantine } from '../storeQuarantine.ts';
import type { QuarantineStore, SuspectReport } from '../types.ts';

const HOUR_MS = 3_600_000;

function report(partId: string, ageMs: number): SuspectReport {
  const crash = { ageMs, deeperPartIds: [] };
  return {
    partId,
    crashes: { 'engine-1': crash, 'engine-2': crash, 'engine-3': crash },
    clearedAgeMs: undefined,
    probation: { revision: 3, probes: 1, dueInMs: 0 },
  };
}

test('rows of parts that no router has quarantined for a day are removed, so that the table does not grow', async () => {
  const { context } = new RequestRig();
  const removed: string[] = [];
  const store: QuarantineStore = {
    read: () => Promise.resolve([report('old', 30 * HOUR_MS), report('young', HOUR_MS)]),
    write: () => Promise.resolve(true),
    remove: (partId) => Promise.resolve(removed.push(partId) > 0),
  };
  context.loop.spawn('read', readQuarantine(context, store));
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(removed, ['old']);
  assert.equal(context.board.quarantine.table.isQuarantined('old'), false);
  assert.equal(context.board.quarantine.table.isQuarantined('young'), true);
});
