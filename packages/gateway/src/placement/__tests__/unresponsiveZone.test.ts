import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamState } from '../../types.ts';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { upstreamsOfFailedZone } from '../unresponsiveZone.ts';
import { UpstreamView } from '../upstreamView.ts';

const NOW_MS = 10_000;

/** Four engines in each of two zones; the first `failedCount` of zone a have not responded. */
function createViews(failedCount: number): UpstreamView[] {
  const views = Array.from(
    { length: 8 },
    (_, index) =>
      new UpstreamView(
        {
          upstreamId: `engine-${index}`,
          serviceName: 's',
          address: '127.0.0.1:1',
          availabilityZone: index < 4 ? 'a' : 'b',
          state: UpstreamState.Ready,
          slots: 1,
          warmupLeftMs: 0,
          startTimeMs: undefined,
          sequence: undefined,
        },
        DEFAULT_PLACEMENT,
      ),
  );
  for (const view of views.slice(0, failedCount)) {
    view.markUnresponsive(NOW_MS - 500, NOW_MS + 10_000);
  }
  return views;
}

function foundIds(views: readonly UpstreamView[]): string[] {
  const [failed] = views;
  assert.ok(failed);
  return upstreamsOfFailedZone(failed, views, NOW_MS).map(({ entry }) => entry.upstreamId);
}

test('the other engines of a zone in which two did not respond are found', () => {
  assert.deepEqual(foundIds(createViews(2)), ['engine-2', 'engine-3']);
});

test('one engine that did not respond says nothing about its zone', () => {
  assert.deepEqual(foundIds(createViews(1)), []);
});

test('a zone of which an engine has responded since has not failed', () => {
  const views = createViews(2);
  const [, , third] = views;
  assert.ok(third);
  third.lastProgressAtMs = NOW_MS - 100;
  assert.deepEqual(foundIds(views), []);
});

test('failures elsewhere without any response show that the link of the router has failed', () => {
  const views = createViews(2);
  const [elsewhere, other] = views.slice(4);
  assert.ok(elsewhere && other);
  elsewhere.markUnresponsive(NOW_MS - 300, NOW_MS + 10_000);
  assert.deepEqual(foundIds(views), []);
  other.lastProgressAtMs = NOW_MS - 100;
  assert.deepEqual(foundIds(views), ['engine-2', 'engine-3']);
});
