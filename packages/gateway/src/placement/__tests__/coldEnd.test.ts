import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamState } from '../../types.ts';
import { coldEndMs, EntryArrival } from '../coldEnd.ts';

const WARMUP_MS = 3_000;
const NOW_MS = 50_000;
const WALL_NOW_MS = 1_700_000_000_000;

function endOf(arrival: EntryArrival, warmupLeftMs: number, ageMs?: number): number {
  const entry = {
    upstreamId: 'engine-1',
    serviceName: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'z',
    state: UpstreamState.Ready,
    slots: 1,
    warmupLeftMs,
    startTimeMs: ageMs === undefined ? undefined : WALL_NOW_MS - ageMs,
    sequence: undefined,
  };
  const end = coldEndMs({ entry, arrival, warmupMs: WARMUP_MS, nowMs: NOW_MS, wallNowMs: WALL_NOW_MS });
  return end - NOW_MS;
}

test('the remaining time of an entry counts from its reading', () => {
  assert.equal(endOf(EntryArrival.Heartbeat, 1_200, 9_000), 1_200);
  assert.equal(endOf(EntryArrival.Heartbeat, 0, 100), -Infinity);
});

test('an incarnation that appears is cold for the whole time, whatever its entry has left', () => {
  assert.equal(endOf(EntryArrival.Appearance, 0), WARMUP_MS);
  assert.equal(endOf(EntryArrival.Appearance, 800, 2_200), WARMUP_MS);
});

test('a start that is only a few seconds old does not shorten it, since clocks may be wrong', () => {
  assert.equal(endOf(EntryArrival.Appearance, 0, 7_900), WARMUP_MS);
  assert.equal(endOf(EntryArrival.Appearance, 0, -4_000), WARMUP_MS);
  assert.equal(endOf(EntryArrival.Appearance, 0, 8_000), -Infinity);
  assert.equal(endOf(EntryArrival.Appearance, 500, 60_000), 500);
});

test('at the start of a router, entries are cold for what they state or what is left since their start', () => {
  assert.equal(endOf(EntryArrival.FirstReading, 0), -Infinity);
  assert.equal(endOf(EntryArrival.FirstReading, 1_500), 1_500);
  assert.equal(endOf(EntryArrival.FirstReading, 0, 1_000), 2_000);
  assert.equal(endOf(EntryArrival.FirstReading, 0, -9_000), WARMUP_MS);
  assert.equal(endOf(EntryArrival.FirstReading, 0, 60_000), -Infinity);
});

test('an absurd remaining time is bounded', () => {
  assert.equal(endOf(EntryArrival.Heartbeat, 1e15), 60_000);
});
