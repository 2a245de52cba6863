import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_ZONE_SPILL } from '../../placement/zoneSpill.ts';
import { RequestRig } from './requestRig.ts';

const ZONES = ['near', 'near2', 'far'];

/** A router in zone `near`, with a plain upstream in each zone. */
function createRig(isSpilling: boolean): RequestRig {
  const rig = new RequestRig({}, ZONES);
  Object.assign(rig.context.location, {
    availabilityZone: 'near',
    regionOf: (zone: string) => (zone === 'far' ? 'y' : 'x'),
  });
  Object.assign(rig.context.options, { zoneSpill: isSpilling ? DEFAULT_ZONE_SPILL : undefined });
  for (const view of rig.context.board.upstreams.values()) {
    view.entry = { ...view.entry, availabilityZone: view.entry.upstreamId };
  }
  return rig;
}

function sendSeveral(rig: RequestRig, count: number): Set<string> {
  const upstreamIds = new Set<string>();
  for (let index = 0; index < count; index += 1) {
    rig.send();
    upstreamIds.add(rig.call.upstreamId);
  }
  return upstreamIds;
}

test('a few concurrent requests leave the zone with constant costs, not where the router decides', () => {
  assert.deepEqual(sendSeveral(createRig(false), 4), new Set(['near', 'near2']));
  const rig = createRig(true);
  assert.deepEqual(sendSeveral(rig, 4), new Set(['near']));
  assert.match(
    rig.context.metrics.prometheusText(),
    /pimentostall_attempts_by_distance_total\{service="[^"]+",distance="own-zone"\} 4/,
  );
});

test('without a usable upstream in the zone, and then in the region, requests leave at once', () => {
  const rig = createRig(true);
  const eject = (upstreamId: string): void => {
    rig.context.board.upstreams.get(upstreamId)?.eject(rig.context.loop.nowMs(), 1_000);
  };
  eject('near');
  assert.deepEqual(sendSeveral(rig, 1), new Set(['near2']));
  eject('near2');
  assert.deepEqual(sendSeveral(rig, 1), new Set(['far']));
});
