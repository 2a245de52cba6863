import assert from 'node:assert/strict';
import { test } from 'node:test';
import { recordReading } from '../../configuration/documentState.ts';
import type { GatewayConfiguration, Route } from '../../types.ts';
import { RouteKind } from '../../types.ts';
import { LocalReplyReason } from '../localReplies.ts';
import { RequestRig, ROUTE } from './requestRig.ts';

const REGIONS: Readonly<Record<string, string>> = { near: 'x', near2: 'x', far: 'y' };
const KEY = 'key-1';

/** A router in region `x`, with upstreams whose ids are their zones. */
function createRig(
  route: Partial<Route>,
  upstreamIds: readonly string[] = ['near', 'near2', 'far'],
  ofOrganisation: readonly string[] = [],
): RequestRig {
  const rig = new RequestRig(route, upstreamIds);
  Object.assign(rig.context.location, {
    availabilityZone: 'near',
    regionOf: (zone: string) => REGIONS[zone],
  });
  const { board } = rig.context;
  for (const view of board.upstreams.values()) {
    view.entry = { ...view.entry, availabilityZone: view.entry.upstreamId };
  }
  board.organisationByKey = new Map([[KEY, 'school']]);
  const organisation = {
    name: 'school',
    keys: [KEY],
    priority: undefined,
    tokenBudget: undefined,
    allowedRegions: ofOrganisation,
  };
  configure(rig, { organisations: new Map([['school', organisation]]) });
  return rig;
}

function configure(rig: RequestRig, change: Partial<GatewayConfiguration>): void {
  const { board } = rig.context;
  assert.ok(board.configuration !== undefined);
  board.configuration = { ...board.configuration, ...change };
}

test('a restricted request goes to an upstream of its region although others are closer', () => {
  assert.equal(createRigCall(createRig({})), 'near');
  assert.equal(createRigCall(createRig({ allowedRegions: ['y'] })), 'far');
  assert.equal(createRigCall(createRig({}, undefined, ['y'])), 'far');
  assert.equal(createRigCall(createRig({ allowedRegions: ['x', 'y'] }, undefined, ['y'])), 'far');
});

function createRigCall(rig: RequestRig): string {
  rig.send({ key: KEY });
  return rig.call.upstreamId;
}

test('retries and resumes keep to the allowed regions', () => {
  for (const route of [
    { maxAttempts: 4 },
    { kind: RouteKind.Streaming, resumable: true, maxAttempts: 4, timeoutMs: 10_000 },
  ]) {
    const rig = createRig({ ...route, allowedRegions: ['x'] });
    const caller = rig.send({ key: KEY, deadlineMs: 10_000 });
    for (let attempt = 0; attempt < 2; attempt += 1) {
      rig.call.sent();
      if (route.kind === RouteKind.Streaming) {
        rig.call.head();
        rig.call.data(`id: ${attempt}\ndata: a\n\n`);
      }
      rig.call.fail();
    }
    assert.deepEqual(rig.calls.map(({ upstreamId }) => upstreamId).sort(), ['near', 'near2']);
    assert.ok(caller.aborted || caller.status === 502);
  }
});

test('a request without a region left is refused at once with its own reason, and counted', () => {
  const rig = createRig({ allowedRegions: ['x'] }, undefined, ['y']);
  const { status, localReply } = rig.send({ key: KEY });
  assert.equal(status, 503);
  assert.equal(localReply?.reason, LocalReplyReason.NoAllowedRegion);
  assert.equal(rig.calls.length, 0);
  assert.match(
    rig.context.metrics.prometheusText(),
    /pimentostall_requests_refused_by_region_total\{reason="no-common-region"\} 1/,
  );
  // Without the organisation's key only the route counts.
  rig.send({ requestId: 'request-2' });
  assert.equal(rig.call.upstreamId, 'near');
});

test('a request whose regions have no upstream is refused, not sent elsewhere', () => {
  const rig = createRig({ allowedRegions: ['y'] }, ['near']);
  assert.equal(rig.send().localReply?.reason, LocalReplyReason.NoUpstream);
  assert.match(
    rig.context.metrics.prometheusText(),
    /refused_by_region_total\{reason="no-upstream-in-region"\} 1/,
  );
  const unknownZone = createRig({ allowedRegions: ['y'] }, ['nowhere']);
  assert.equal(unknownZone.send().localReply?.reason, LocalReplyReason.NoUpstream);
  assert.equal(rig.calls.length + unknownZone.calls.length, 0);
});

test('an evacuation of the last zone of the only allowed region is the reason of a refusal', () => {
  const rig = createRig({ allowedRegions: ['y'] });
  recordReading(rig.context, {
    document: undefined,
    seenVersion: 1,
    silentMs: 0,
    evacuations: { zones: ['far'], version: 1 },
  });
  assert.equal(rig.send().localReply?.reason, LocalReplyReason.ZonesEvacuated);
  assert.equal(rig.calls.length, 0);
});

test('a retry keeps to a restriction that is newer than its request', () => {
  const rig = createRig({ maxAttempts: 4 }, ['near', 'far']);
  rig.send({ key: KEY, deadlineMs: 900 });
  assert.equal(rig.call.upstreamId, 'near');
  rig.call.sent();
  configure(rig, { version: 2, routes: [{ ...ROUTE, allowedRegions: ['x'] }] });
  rig.call.fail();
  assert.equal(rig.calls.length, 1);
});

test('requests that wait for tokens are refused for their region at once', () => {
  // Guards against a wait for tokens, and a loan of them, for a request that cannot be served.
  const rig = createRig({ anonymous: false, allowedRegions: ['x'] }, undefined, ['y']);
  const school = rig.context.board.configuration?.organisations.get('school');
  assert.ok(school !== undefined);
  configure(rig, { organisations: new Map([['school', { ...school, tokenBudget: 1_000 }]]) });
  const caller = rig.send({ key: KEY, usage: { promptTokens: 10, maxOutputTokens: 10 } });
  assert.equal(caller.localReply?.reason, LocalReplyReason.NoAllowedRegion);
  assert.equal(rig.context.board.accounts.size, 0);
});
