import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ROUTE } from '../../requests/__tests__/requestRig.ts';
import { chooseService, RouteTable } from '../routeTable.ts';

const table = new RouteTable([
  { ...ROUTE, name: 'all', prefix: '/' },
  { ...ROUTE, name: 'stock', prefix: '/stock/' },
  { ...ROUTE, name: 'kits', prefix: '/stock/kits/' },
]);

test('the route with the longest matching path prefix is chosen', () => {
  const find = (target: string): string | undefined => table.find('shop.example:80', target)?.name;
  assert.equal(find('/stock/kits/1?x=/a/'), 'kits');
  assert.equal(find('/stock/kit'), 'stock');
  assert.equal(find('/stock'), 'all');
  assert.equal(find('/'), 'all');
});

test('routes of another host do not match', () => {
  assert.equal(table.find('other.example', '/stock/1'), undefined);
});

test('services are chosen in proportion to their weights', () => {
  const targets = [
    { serviceName: 'old', weight: 90 },
    { serviceName: 'new', weight: 10 },
  ];
  assert.equal(chooseService(targets, 0.89), 'old');
  assert.equal(chooseService(targets, 0.91), 'new');
  assert.equal(chooseService([], 0.5), undefined);
});
