import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { LocalReplyReason } from '../../requests/localReplies.ts';
import { RouteKind } from '../../types.ts';
import { recordReading } from '../../configuration/documentState.ts';

const STREAM = { kind: RouteKind.Streaming, resumable: true, maxAttempts: 4, timeoutMs: 10_000 };

/** Zones of the upstreams of a rig, whose router is in zone `z`. */
type Zones = Readonly<Record<string, string>>;

function createRig(zones: Zones, route: ConstructorParameters<typeof RequestRig>[0] = {}): RequestRig {
  const rig = new RequestRig(route, Object.keys(zones));
  for (const [upstreamId, zone] of Object.entries(zones)) {
    moveTo(rig, upstreamId, zone);
  }
  return rig;
}

function moveTo(rig: RequestRig, upstreamId: string, availabilityZone: string): void {
  const view = rig.context.board.upstreams.get(upstreamId);
  assert.ok(view !== undefined);
  view.entry = { ...view.entry, availabilityZone };
}

function evacuate(rig: RequestRig, version: number, ...zones: string[]): void {
  recordReading(rig.context, {
    document: undefined,
    seenVersion: version,
    silentMs: 0,
    evacuations: { zones, version },
  });
}

/** Ids of the upstreams that requests are sent to, each answered at once. */
function placements(rig: RequestRig, count = 12): Set<string> {
  const chosen = new Set<string>();
  for (let index = 0; index < count; index += 1) {
    const before = rig.calls.length;
    rig.send({ requestId: `probe-${index}` });
    if (rig.calls.length > before) {
      chosen.add(rig.call.upstreamId);
      rig.call.sent();
      rig.call.head();
      rig.call.end();
    }
  }
  return chosen;
}

function countOf(rig: RequestRig, line: string): number {
  return rig.logged.filter((logged) => logged === line).length;
}

test("requests leave the router's own zone and go to another one", () => {
  const rig = createRig({ a: 'z', b: 'z2' });
  assert.deepEqual(placements(rig), new Set(['a']));
  evacuate(rig, 1, 'z');
  assert.deepEqual(placements(rig), new Set(['b']));
  assert.equal(countOf(rig, 'zone evacuated'), 1);
});

test('a request that waits for a connection goes elsewhere at once, and one that runs continues', () => {
  const rig = createRig({ a: 'z', b: 'z2' });
  const caller = rig.send();
  const running = rig.call;
  running.sent();
  rig.send({ requestId: 'request-2' });
  const waiting = rig.call;
  assert.equal(waiting.upstreamId, 'a');
  rig.advance(40);
  evacuate(rig, 1, 'z');
  assert.equal(waiting.cancelled, true);
  assert.equal(rig.call.upstreamId, 'b');
  assert.equal(running.cancelled, false);
  assert.equal(countOf(rig, 'last request in evacuated zone ended'), 0);
  running.head();
  running.end();
  assert.equal(caller.status, 200);
  assert.equal(countOf(rig, 'last request in evacuated zone ended'), 1);
});

test('retries of failed requests and resumes of broken streams go elsewhere', () => {
  for (const route of [{ maxAttempts: 3 }, STREAM]) {
    const rig = createRig({ a: 'z', b: 'z', c: 'z2' }, route);
    const caller = rig.send({ deadlineMs: 10_000 });
    rig.call.sent();
    if (route === STREAM) {
      rig.call.head();
      rig.call.data('id: 1\ndata: a\n\n');
    }
    evacuate(rig, 1, 'z');
    rig.call.fail();
    assert.equal(rig.call.upstreamId, 'c');
    rig.call.sent();
    rig.call.fail();
    // The other upstream of the evacuated zone is no choice.
    assert.equal(rig.calls.length, 2);
    assert.ok(caller.aborted || caller.status === 502);
  }
});

test('requests without an upstream outside of evacuated zones are refused at once with that reason', () => {
  const rig = createRig({ a: 'z' });
  const waiting = rig.send();
  evacuate(rig, 1, 'z');
  const caller = rig.send({ requestId: 'request-2' });
  for (const { status, localReply } of [waiting, caller]) {
    assert.equal(status, 503);
    assert.equal(localReply?.reason, LocalReplyReason.ZonesEvacuated);
    assert.ok((localReply.retryAfterMs ?? 0) > 0);
  }
  assert.equal(rig.calls.length, 1);
  assert.match(rig.context.metrics.prometheusText(), /pimentostall_requests_refused_by_evacuation_total 2/);
});

test('a busy upstream elsewhere is named as the reason, not the evacuated zone', () => {
  const rig = createRig({ a: 'z', b: 'z2' });
  evacuate(rig, 1, 'z');
  rig.context.board.upstreams.get('b')?.postpone(rig.context.loop.nowMs() + 400);
  assert.equal(rig.send().localReply?.reason, LocalReplyReason.UpstreamsBusy);
});

test('the last zone of a region, and two zones at once: requests go to the zone that is left', () => {
  const rig = createRig({ a: 'z', b: 'z2', c: 'far' });
  evacuate(rig, 1, 'z');
  rig.send();
  const waiting = rig.call;
  assert.equal(waiting.upstreamId, 'b');
  evacuate(rig, 2, 'z', 'z2');
  assert.equal(waiting.cancelled, true);
  assert.equal(rig.call.upstreamId, 'c');
  assert.deepEqual(placements(rig), new Set(['c']));
});

test('of two zones evacuated in one reading, a withdrawn request goes to neither', () => {
  const rig = createRig({ a: 'z', b: 'z2', c: 'far' });
  rig.send();
  evacuate(rig, 1, 'z', 'z2');
  assert.deepEqual(
    rig.calls.map(({ upstreamId }) => upstreamId),
    ['a', 'c'],
  );
});

test('an evacuation that is cancelled in progress lets its zone be used again, as cold for the warm-up', () => {
  const rig = createRig({ a: 'z', b: 'z2' });
  const { board, loop, options } = rig.context;
  Object.assign(options, { coldBound: { overshoot: 1.5, slack: 5 } });
  const service = board.configuration?.services.get('orders');
  assert.ok(board.configuration !== undefined && service !== undefined);
  board.configuration = {
    ...board.configuration,
    services: new Map([['orders', { ...service, warmup: { durationMs: 3_000, requestsPerSecond: 7 } }]]),
  };
  rig.send();
  const running = rig.call;
  running.sent();
  evacuate(rig, 1, 'z');
  rig.advance(30);
  evacuate(rig, 2);
  assert.equal(board.upstreams.get('a')?.coldUntilMs, loop.nowMs() + 3_000);
  assert.equal(board.upstreams.get('b')?.coldUntilMs, -Infinity);
  assert.equal(countOf(rig, 'evacuation cancelled'), 1);
  running.head();
  running.end();
  assert.equal(countOf(rig, 'last request in evacuated zone ended'), 0);
  // The load returns after the cold time and the ramp that follows it.
  rig.advance(3_000 + options.placement.resumeRampMs);
  assert.ok(placements(rig).has('a'));
  evacuate(rig, 3, 'z');
  assert.deepEqual(placements(rig), new Set(['b']));
});

test('engines without a configured warm-up are not treated as cold', () => {
  const rig = createRig({ a: 'z' });
  evacuate(rig, 1, 'z');
  evacuate(rig, 2);
  assert.equal(rig.context.board.upstreams.get('a')?.coldUntilMs, -Infinity);
});

test('an engine of a release that appears in an evacuated zone gets no request until the row is removed', () => {
  const rig = createRig({ a: 'z', b: 'z2' });
  evacuate(rig, 1, 'z');
  rig.addUpstream('new');
  assert.deepEqual(placements(rig), new Set(['b']));
  evacuate(rig, 2);
  const chosen = placements(rig);
  assert.ok(chosen.has('a') || chosen.has('new'));
});

test('a reading that is older than what is known, or without the zones, changes nothing', () => {
  // Guards against relays that lag, and against relays of an older build.
  const rig = createRig({ a: 'z', b: 'z2' });
  evacuate(rig, 5, 'z');
  evacuate(rig, 4);
  evacuate(rig, 5);
  recordReading(rig.context, { document: undefined, seenVersion: 9, silentMs: 0 });
  assert.deepEqual([...rig.context.board.evacuations.zones], ['z']);
  evacuate(rig, 6);
  assert.equal(rig.context.board.evacuations.zones.size, 0);
});

test('a zone that does not exist harms nothing and is logged once', () => {
  const rig = createRig({ a: 'z' });
  const location = { ...rig.context.location, regionOf: (zone: string) => (zone === 'z' ? 'x' : undefined) };
  const context = { ...rig.context, location };
  for (const version of [1, 2, 3]) {
    recordReading(context, {
      document: undefined,
      seenVersion: version,
      silentMs: 0,
      evacuations: { zones: ['nowhere "\n'], version },
    });
  }
  assert.deepEqual(placements(rig), new Set(['a']));
  assert.equal(countOf(rig, 'evacuated zone is not a zone of this deployment; check its name'), 1);
});
