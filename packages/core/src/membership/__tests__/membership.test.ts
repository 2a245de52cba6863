import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoreDriver, peerSends } from '../../configuration/__tests__/coreDriver.ts';
import type { VmRow } from '../../types/membership.ts';
import { VmRole, VmState } from '../../types/membership.ts';
import { PeerMessageKind } from '../../types/messages.ts';
import { heartbeatTargets } from '../heartbeatTargets.ts';

function vmRow(number: number, region = 'near'): VmRow {
  const address = `10.0.0.${number}:81`;
  const availabilityZone = `${region}-a`;
  return { vmId: `vm${number}`, address, role: VmRole.Router, state: VmState.Live, region, availabilityZone };
}

// Guards against quadratic traffic in a large region, and against unreached peers in a small one.
test('heartbeats reach all of up to 12 routers and, if relayed, 8 neighbours in larger regions', () => {
  const peers = (count: number) => Array.from({ length: count }, (_, index) => `10.0.1.${index}:81`);
  const targetCount = (count: number, relayed: boolean) =>
    heartbeatTargets({ ownAddress: '10.0.0.1:81', regionAddresses: peers(count), relayed }).length;
  assert.equal(targetCount(11, true), 11);
  assert.equal(targetCount(12, true), 8);
  assert.equal(targetCount(12, false), 12);
});

// Guards against a reclaim that is triggered by a failed list read or for a VM that has returned.
test('a VM is absent from the first list without it until it is listed again', () => {
  const driver = new CoreDriver();
  const { absentSinceMs } = driver.core.board.membership;
  driver.members = [vmRow(2)];
  driver.step();
  driver.members = undefined;
  driver.advance(2_000);
  assert.equal(absentSinceMs.get('vm2'), undefined);
  driver.members = [];
  driver.advance(3_000);
  assert.equal(absentSinceMs.get('vm2'), 3_000);
  driver.members = [vmRow(2)];
  driver.advance(1_000);
  assert.equal(absentSinceMs.get('vm2'), undefined);
  assert.ok(!absentSinceMs.has('vm9'));
});

// Guards against removing peers because the list lags, and against memory growth with every replaced VM.
test('a peer is removed only when it is both silent and unlisted', () => {
  const driver = new CoreDriver();
  const { peers } = driver.core.board.membership;
  driver.members = [vmRow(3)];
  driver.hear(2);
  driver.hear(3);
  driver.advance(59_000);
  assert.equal(peers.size, 2);
  driver.advance(3_000);
  assert.deepEqual([...peers.keys()], ['10.0.0.3:81']);
});

// Guards against heartbeats that saturate the region link.
test('heartbeats go to the region every second and to two far routers every five seconds', () => {
  const driver = new CoreDriver();
  driver.members = [vmRow(2), vmRow(3), vmRow(4, 'far'), vmRow(5, 'far'), vmRow(6, 'far')];
  driver.advance(2_000);
  const targets = peerSends(driver.advance(10_000), PeerMessageKind.Heartbeat);
  const isNear = (address: string) => ['10.0.0.2:81', '10.0.0.3:81'].includes(address);
  assert.equal(targets.filter(isNear).length, 20);
  assert.equal(targets.filter((address) => !isNear(address)).length, 4);
});
