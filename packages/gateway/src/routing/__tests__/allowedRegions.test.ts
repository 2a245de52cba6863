import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allowedRegions, entryRegions, regionIssues } from '../allowedRegions.ts';
import type { Organisation } from '../../types.ts';
import { ROUTE } from '../../requests/__tests__/requestRig.ts';

const regions = (...names: string[]) => ({ allowedRegions: names });

function organisation(name: string, ...names: string[]): Organisation {
  return { name, keys: [], priority: undefined, tokenBudget: undefined, allowedRegions: names };
}

test('the regions of a request are those of its route and its organisation together', () => {
  assert.equal(allowedRegions(regions(), undefined), undefined);
  assert.equal(allowedRegions(regions(), regions()), undefined);
  assert.deepEqual(allowedRegions(regions('x'), undefined), new Set(['x']));
  assert.deepEqual(allowedRegions(regions('x', 'y'), regions()), new Set(['x', 'y']));
  assert.deepEqual(allowedRegions(regions(), regions('y')), new Set(['y']));
  assert.deepEqual(allowedRegions(regions('x', 'y'), regions('y', 'w')), new Set(['y']));
  assert.deepEqual(allowedRegions(regions('x'), regions('y')), new Set());
});

test('an entry response serves all restricted routes of a host, and some if they contradict each other', () => {
  assert.equal(entryRegions([]), undefined);
  assert.equal(entryRegions([regions(), regions()]), undefined);
  assert.deepEqual(entryRegions([regions(), regions('x', 'y'), regions('y')]), new Set(['y']));
  assert.deepEqual(entryRegions([regions('x'), regions('y')]), new Set(['x', 'y']));
});

test('contradictions name the route and the organisation, and unknown regions their entry', () => {
  const routes = [
    { ...ROUTE, name: 'free' },
    { ...ROUTE, name: 'bound', allowedRegions: ['x'] },
  ];
  const organisations = new Map(
    [organisation('one'), organisation('two', 'y'), organisation('three', 'x', 'lost')].map((entry) => [
      entry.name,
      entry,
    ]),
  );
  const issues = regionIssues({ routes, organisations }, new Set(['x', 'y']));
  assert.equal(issues.length, 2);
  assert.match(issues[0] ?? '', /organisation three allows regions that have no zone.*lost/);
  assert.match(
    issues[1] ?? '',
    /route bound \(x\) and organisation two \(y\) have no allowed region in common/,
  );
  assert.equal(regionIssues({ routes, organisations }, undefined).length, 1);
});

test('a document with thousands of contradictions gives a bounded number of messages', () => {
  const routes = Array.from({ length: 20 }, (_, index) => ({
    ...ROUTE,
    name: `route-${index}`,
    allowedRegions: ['x'],
  }));
  const organisations = new Map(
    Array.from({ length: 2_700 }, (_, index) => [`o${index}`, organisation(`o${index}`, 'y')]),
  );
  const issues = regionIssues({ routes, organisations }, undefined);
  assert.equal(issues.length, 51);
  assert.equal(issues.at(-1), '53950 further issues of allowed regions');
});
