import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isOfEarlierEra, isSameEra, toPosition, versionInEra } from '../storePosition.ts';

const era = fc.integer({ min: 1, max: 1_000 });
const version = fc.integer({ min: 1, max: 2 ** 42 });

function position(inEra: number | undefined, inVersion: number): number {
  const result = toPosition(inEra, inVersion);
  assert.ok(result !== undefined);
  return result;
}

test('a version of a later era is later, whatever its number (it was taken for an older one)', () => {
  fc.assert(
    fc.property(era, era, version, version, (eraA, eraB, versionA, versionB) => {
      const [a, b] = [position(eraA, versionA), position(eraB, versionB)];
      assert.ok(Number.isSafeInteger(a));
      assert.equal(a < b, eraA === eraB ? versionA < versionB : eraA < eraB);
      assert.equal(isSameEra(a, b), eraA === eraB);
      assert.equal(isOfEarlierEra(a, b), eraA < eraB);
      assert.equal(versionInEra(eraB, a), eraA === eraB ? versionA : undefined);
    }),
  );
});

test('the position before all others is 0 in each era, so that a check for a missing row keeps its meaning', () => {
  assert.equal(versionInEra(7, 0), 0);
  assert.equal(versionInEra(undefined, 0), 0);
});

test('a store without eras has its versions as positions', () => {
  assert.equal(toPosition(undefined, 2 ** 50), 2 ** 50);
  assert.equal(versionInEra(undefined, 2 ** 50), 2 ** 50);
});

test('eras of any size keep their order, and a version that is too large for a position is refused', () => {
  assert.ok(position(51_235, 1) > position(51_234, 9));
  assert.equal(toPosition(1, 2 ** 43), undefined);
});
