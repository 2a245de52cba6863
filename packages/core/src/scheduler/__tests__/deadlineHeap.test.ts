import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { DeadlineEntry } from '../deadlineHeap.ts';
import { DeadlineHeap } from '../deadlineHeap.ts';

const earliestOf = (entries: ReadonlySet<DeadlineEntry>): number =>
  Math.min(Infinity, ...[...entries].map((entry) => entry.deadlineMs));

// Guards against a missed deadline, which would stall a task.
test('reports the earliest deadline after any sequence of additions and removals', () => {
  const operation = fc.record({ deadlineMs: fc.integer({ min: 0, max: 20 }), removedIndex: fc.nat(40) });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 80 }), (operations) => {
      const heap = new DeadlineHeap<DeadlineEntry>();
      const all: DeadlineEntry[] = [];
      const present = new Set<DeadlineEntry>();
      for (const { deadlineMs, removedIndex } of operations) {
        const entry: DeadlineEntry = { deadlineMs, heapIndex: undefined };
        all.push(entry);
        present.add(entry);
        heap.add(entry);
        const removed = all[removedIndex];
        if (removed !== undefined) {
          // Also covers entries that have already been removed.
          heap.remove(removed);
          present.delete(removed);
        }
        assert.equal(heap.earliest?.deadlineMs ?? Infinity, earliestOf(present));
      }
    }),
    { seed: 20, numRuns: 300 },
  );
});
