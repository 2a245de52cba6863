import assert from 'node:assert/strict';
import { test } from 'node:test';
import { cacheFollowerCount } from '../cacheFollowers.ts';

const count = (routerCount: number, engineCount: number, isLargeFleet = true): number =>
  cacheFollowerCount({ maxCacheFollowers: 12, routerCount, engineCount, isLargeFleet });

test('routers of a large fleet follow few engines each, whatever the number of routers and engines', () => {
  // Guards against control calls that grow with the engines: each followed engine costs about a call a second.
  for (const [routers, engines] of [
    [17, 25],
    [62, 98],
    [195, 82],
    [350, 600],
  ] as const) {
    const followedPerRouter = (count(routers, engines) * engines) / routers;
    assert.ok(followedPerRouter <= 6, `${followedPerRouter} engines for each of ${routers} routers`);
  }
});

test('an engine keeps two followers, and never gets more than it allows', () => {
  assert.equal(count(16, 1_000), 2);
  assert.equal(count(1_000, 4), 12);
  assert.equal(count(9, 13, false), 12);
});

test('with no engines to follow, no router of a large fleet polls, and a small fleet is not affected', () => {
  // Guards against polls that the least number of followers would bring back.
  const input = { maxCacheFollowers: 12, routerCount: 58, engineCount: 98, maxFollowedEngines: 0 };
  assert.equal(cacheFollowerCount({ ...input, isLargeFleet: true }), 0);
  assert.equal(cacheFollowerCount({ ...input, isLargeFleet: false }), 12);
});
