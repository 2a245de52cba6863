import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { ZoneDistance, ZoneDistances } from '../zoneDistance.ts';
import { DEFAULT_ZONE_SPILL, regionFractionLimit, ServiceSpill } from '../zoneSpill.ts';

const NO_GAIN = { otherZonesMs: 0, otherRegionMs: 0 };
const GAIN = { otherZonesMs: 50, otherRegionMs: 0 };
const location = {
  availabilityZone: 'a1',
  region: 'a',
  regionOf: (zone: string): string | undefined => (zone.startsWith('x') ? undefined : zone.slice(0, 1)),
};

function feed(spill: ServiceSpill, gains: typeof GAIN, fromMs: number, untilMs: number): number {
  let steps = 0;
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 20) {
    steps += spill.recordGains(gains, 0.5, nowMs).length;
  }
  return steps;
}

test('a fraction does not jump: steps are bounded in size and in time', () => {
  const spill = new ServiceSpill();
  let previous = 0;
  for (let nowMs = 0; nowMs < 3_000; nowMs += 20) {
    spill.recordGains({ otherZonesMs: 5_000, otherRegionMs: 5_000 }, 0.5, nowMs);
    assert.ok(spill.otherZonesFraction - previous <= DEFAULT_ZONE_SPILL.maxStep + 1e-9);
    previous = spill.otherZonesFraction;
  }
  assert.equal(spill.otherZonesFraction, 1);
  assert.equal(spill.otherRegionFraction, 0.5);
});

test('a gain between the bounds of the band changes nothing, so that a fraction does not swing', () => {
  const spill = new ServiceSpill();
  feed(spill, GAIN, 0, 2_000);
  const before = spill.otherZonesFraction;
  assert.ok(before > 0);
  // The mean gain falls from 50 ms into the band within 2 s.
  feed(spill, { otherZonesMs: 2, otherRegionMs: 0 }, 2_000, 4_000);
  const settled = spill.otherZonesFraction;
  assert.equal(feed(spill, { otherZonesMs: 3, otherRegionMs: 0 }, 4_000, 6_000), 0);
  assert.equal(spill.otherZonesFraction, settled);
});

test('a fraction returns to zero when nothing is gained, also if no requests arrived meanwhile', () => {
  const spill = new ServiceSpill();
  feed(spill, GAIN, 0, 2_000);
  feed(spill, NO_GAIN, 2_000, 9_000);
  assert.equal(spill.otherZonesFraction, 0);
  const idle = new ServiceSpill();
  feed(idle, GAIN, 0, 2_000);
  idle.recordGains(NO_GAIN, 0.5, 60_000);
  assert.equal(idle.otherZonesFraction, 0);
});

test('the fraction of the requests that may leave is the one that was decided', () => {
  const spill = new ServiceSpill();
  feed(spill, { otherZonesMs: 10, otherRegionMs: 0 }, 0, 600);
  const fraction = spill.otherZonesFraction;
  assert.ok(fraction > 0 && fraction < 1, `${fraction}`);
  let leaving = 0;
  for (let index = 0; index < 2_000; index += 1) {
    leaving += spill.widestOf(`request-${index}`) === ZoneDistance.OwnZone ? 0 : 1;
  }
  assert.ok(Math.abs(leaving / 2_000 - fraction) < 0.05, `${leaving} of 2000, fraction ${fraction}`);
});

test('all routers together stay within their part of the link between regions', () => {
  const offeredBytesPerSecond = 100_000;
  const routerCount = 195;
  const limit = regionFractionLimit(offeredBytesPerSecond, routerCount, DEFAULT_ZONE_SPILL);
  assert.ok(limit * offeredBytesPerSecond * routerCount <= (42e6 / 8) * 0.5 + 1);
  assert.equal(regionFractionLimit(0, 1, DEFAULT_ZONE_SPILL), DEFAULT_ZONE_SPILL.maxRegionFraction);
});

test('the variation of response times is not taken for a wait, a zone that is short is', () => {
  const spill = new ServiceSpill();
  for (let nowMs = 0; nowMs < 3_000; nowMs += 20) {
    spill.recordResponse('a1', nowMs % 40 === 0 ? 14 : 26, nowMs);
  }
  assert.equal(spill.waitMs('a1', 3_000), 0);
  for (let nowMs = 3_000; nowMs < 5_000; nowMs += 20) {
    spill.recordResponse('a1', 80, nowMs);
  }
  assert.ok(spill.waitMs('a1', 5_000) > 20);
  assert.equal(spill.waitMs('a1', 5_000 + DEFAULT_ZONE_SPILL.responseMemoryMs), 0, 'old responses count');
  assert.equal(spill.waitMs('a2', 5_000), 0);
});

test('a zone is as far as its connections show, and as the constants say before any', () => {
  const distances = new ZoneDistances();
  const distanceMs = (zone: string): number => distances.distanceMs(zone, location, DEFAULT_PLACEMENT);
  assert.deepEqual(['a1', 'a2', 'b1', 'x'].map(distanceMs), [0, 2, 25, 25]);
  distances.recordConnection('a1', 1, 0);
  distances.recordConnection('a2', 8, 0);
  // A late event loop makes a connection look slower than it was.
  distances.recordConnection('a2', 40, 10);
  distances.recordConnection('b1', 17, 0);
  assert.deepEqual(['a1', 'a2', 'b1'].map(distanceMs), [0, 7, 26]);
});

test('a link that has become slow is seen within two spans of measurement', () => {
  const distances = new ZoneDistances();
  for (let nowMs = 0; nowMs < 30_000; nowMs += 500) {
    distances.recordConnection('a1', 1, nowMs);
    distances.recordConnection('b1', nowMs < 10_000 ? 17 : 200, nowMs);
  }
  assert.ok(distances.distanceMs('b1', location, DEFAULT_PLACEMENT) >= 199);
});
