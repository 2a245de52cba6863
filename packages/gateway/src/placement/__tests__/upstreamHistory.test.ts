import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import { EntryOrder, UpstreamHistory } from '../upstreamHistory.ts';

const HEARTBEAT_MS = 1_200;
/** The store performs a call without a reply at most this much later. */
const MAX_LATE_MS = 6_000;
const REMOVED_LIMIT = 2_048;

function entry(fields: Partial<UpstreamEntry>): UpstreamEntry {
  return {
    upstreamId: 'engine-1',
    serviceName: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    state: UpstreamState.Ready,
    slots: 6,
    warmupLeftMs: 0,
    startTimeMs: 1,
    sequence: 1,
    ...fields,
  };
}

interface Write {
  readonly performedAtMs: number;
  readonly issuedAtMs: number;
  readonly entry: UpstreamEntry;
}

/**
 * The writes of one upstream id in the order in which the store performs them: each incarnation beats, drains at some
 * beat and is followed by the next one; some writes are performed late.
 */
const performedWrites = fc
  .array(fc.record({ beats: fc.integer({ min: 1, max: 12 }), drainBeats: fc.integer({ min: 1, max: 4 }) }), {
    minLength: 1,
    maxLength: 4,
  })
  .chain((incarnations) => {
    const writes: Omit<Write, 'performedAtMs'>[] = [];
    let atMs = 0;
    for (const [index, { beats, drainBeats }] of incarnations.entries()) {
      for (let beat = 1; beat <= beats + drainBeats; beat += 1) {
        const state = beat > beats ? UpstreamState.Draining : UpstreamState.Ready;
        writes.push({ issuedAtMs: atMs, entry: entry({ startTimeMs: index + 1, sequence: beat, state }) });
        atMs += HEARTBEAT_MS;
      }
    }
    const delay = fc.oneof(fc.constant(0), fc.integer({ min: 1_000, max: MAX_LATE_MS }));
    return fc
      .array(delay, { minLength: writes.length, maxLength: writes.length })
      .map((delays): Write[] =>
        writes
          .map((write, index) => ({ ...write, performedAtMs: write.issuedAtMs + (delays[index] ?? 0) }))
          .sort((a, b) => a.performedAtMs - b.performedAtMs),
      );
  });

test('the newest entry of an upstream is never replaced by one that was issued before it (late heartbeats reopened a draining engine)', () => {
  fc.assert(
    fc.property(performedWrites, (writes) => {
      const history = new UpstreamHistory();
      let newest: Write | undefined;
      for (const write of writes) {
        if (history.orderOf(write.entry, write.performedAtMs) === EntryOrder.Newest) {
          assert.ok(newest === undefined || newest.issuedAtMs <= write.issuedAtMs);
          history.record(write.entry);
          newest = write;
        } else {
          assert.ok(newest !== undefined && newest.issuedAtMs > write.issuedAtMs, 'a newer entry was held');
        }
      }
    }),
  );
});

test('the memory of removed upstreams is bounded, and those of registered ones are kept', () => {
  const history = new UpstreamHistory();
  history.record(entry({ upstreamId: 'kept', startTimeMs: 9 }));
  for (let index = 0; index <= REMOVED_LIMIT; index += 1) {
    const upstreamId = `removed-${index}`;
    history.record(entry({ upstreamId, startTimeMs: 9 }));
    history.recordRemoval(upstreamId, 0);
  }
  const orderOf = (upstreamId: string): EntryOrder =>
    history.orderOf(entry({ upstreamId, startTimeMs: 8 }), 0);
  assert.equal(orderOf('removed-0'), EntryOrder.Newest);
  assert.equal(orderOf('removed-1'), EntryOrder.OlderIncarnation);
  assert.equal(orderOf('kept'), EntryOrder.OlderIncarnation);
});
