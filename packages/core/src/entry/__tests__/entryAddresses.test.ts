import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CoreDriver } from '../../configuration/__tests__/coreDriver.ts';
import { RouterState } from '../../types/messages.ts';
import { chooseEntryAddresses, entryAddresses } from '../entryAddresses.ts';

// Guards against reshuffling every organisation's money whenever a router joins or leaves.
test('removing a router moves only the organisations that it served', () => {
  const addresses = fc.uniqueArray(fc.ipV4(), { minLength: 3, maxLength: 30 });
  fc.assert(
    fc.property(addresses, fc.string(), fc.nat(), (candidates, organisationId, index) => {
      const removed = candidates[index % candidates.length];
      const before = chooseEntryAddresses(organisationId, candidates, 2);
      const rest = candidates.filter((candidate) => candidate !== removed);
      const after = chooseEntryAddresses(organisationId, rest, 2);
      const kept = before.filter((address) => address !== removed);
      assert.ok(kept.every((address) => after.includes(address)));
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against sending callers to a router that is draining, silent or in another region.
test('entry answers contain only live routers of the region', () => {
  const driver = new CoreDriver();
  const { board } = driver.core;
  const context = {
    board,
    options: { peerTimeoutMs: 3_000, entryReplicas: 9 },
    clock: { monotonicMs: 0 },
  };
  const sortedEntryAddresses = () => entryAddresses(context as never, 'o').sort();
  board.routerState = RouterState.Live;
  driver.hear(2);
  driver.hear(3, RouterState.Starting);
  driver.hear(4, RouterState.Live, 0, 'far');
  assert.deepEqual(sortedEntryAddresses(), ['10.0.0.1:80', '10.0.0.2:80']);
  driver.hear(2, RouterState.Draining);
  driver.hear(2, RouterState.Live);
  assert.deepEqual(sortedEntryAddresses(), ['10.0.0.1:80']);
  board.routerState = RouterState.Draining;
  assert.deepEqual(sortedEntryAddresses(), []);
});

// Guards against restricting a large organisation to as few routers as a small one.
test('the entry weight multiplies the number of addresses', () => {
  const driver = new CoreDriver();
  const { board } = driver.core;
  [2, 3, 4, 5, 6, 7].forEach((number) => driver.hear(number));
  const organisation = { organisationId: 'large', keySha256: [], entryWeight: 2.5 };
  board.configuration = { organisationById: new Map([['large', organisation]]) } as never;
  const context = {
    board,
    options: { peerTimeoutMs: 3_000, entryReplicas: 2 },
    clock: { monotonicMs: 0 },
  };
  assert.equal(entryAddresses(context as never, 'large').length, 5);
  assert.equal(entryAddresses(context as never, 'other').length, 2);
});
