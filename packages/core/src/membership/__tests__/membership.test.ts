import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoreDriver, peerSends } from '../../configuration/__tests__/coreDriver.ts';
import type { VmRow } from '../../types/membership.ts';
import { VmRole, VmState } from '../../types/membership.ts';
import { PeerMessageKind } from '../../types/messages.ts';
import { heartbeatTargets } from '../heartbeatTargets.ts';

function vm(number: number, region = 'near'): VmRow {
  const address = `10.0.0.${number}:81`;
  const availabilityZone = `${region}-a`;
  return { vmId: `vm${number}`, address, role: VmRole.Router, state: VmState.Live, region, availabilityZone };
}

// Guards against heartbeats that grow with the square of a large region, and against unheard peers in a small one.
test('heartbeats go to everyone up to 12 routers and, once relayed, to 8 neighbours above', () => {
  const peers = (count: number) => Array.from({ length: count }, (_, index) => `10.0.1.${index}:81`);
  const size = (count: number, relayed: boolean) =>
    heartbeatTargets({ ownAddress: '10.0.0.1:81', regionAddresses: peers(count), relayed }).length;
  assert.equal(size(11, true), 11);
  assert.equal(size(12, true), 8);
  assert.equal(size(12, false), 12);
});

// Guards against a reclaim that starts from a failed read of the list or from a VM that came back.
test('absence counts from the first list without the VM and ends when it is listed again', () => {
  const driver = new CoreDriver();
  const { absentSinceMs } = driver.core.board.membership;
  driver.members = [vm(2)];
  driver.step();
  driver.members = undefined;
  driver.advance(2_000);
  assert.equal(absentSinceMs.get('vm2'), undefined);
  driver.members = [];
  driver.advance(3_000);
  assert.equal(absentSinceMs.get('vm2'), 3_000);
  driver.members = [vm(2)];
  driver.advance(1_000);
  assert.equal(absentSinceMs.get('vm2'), undefined);
  assert.ok(!absentSinceMs.has('vm9'));
});

// Guards against peers forgotten because the list lags, and against memory that grows with every replaced VM.
test('a peer is forgotten only when it is silent and absent', () => {
  const driver = new CoreDriver();
  const { peers } = driver.core.board.membership;
  driver.members = [vm(3)];
  driver.hear(2);
  driver.hear(3);
  driver.advance(59_000);
  assert.equal(peers.size, 2);
  driver.advance(3_000);
  assert.deepEqual([...peers.keys()], ['10.0.0.3:81']);
});

// Guards against a link between the regions filled by heartbeats.
test('the region hears every second, two far routers every five', () => {
  const driver = new CoreDriver();
  driver.members = [vm(2), vm(3), vm(4, 'far'), vm(5, 'far'), vm(6, 'far')];
  driver.advance(2_000);
  const targets = peerSends(driver.advance(10_000), PeerMessageKind.Heartbeat);
  const isNear = (address: string) => ['10.0.0.2:81', '10.0.0.3:81'].includes(address);
  assert.equal(targets.filter(isNear).length, 20);
  assert.equal(targets.filter((address) => !isNear(address)).length, 4);
});
