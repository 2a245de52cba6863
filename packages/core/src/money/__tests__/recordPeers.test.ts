import assert from 'node:assert/strict';
import { test } from 'node:test';
import { copyPeerAddresses, lookupPeers } from '../recordPeers.ts';
import { fleetOf } from './fleet.ts';

const NAMES = Array.from({ length: 40 }, (_, index) => `n${index}`);

// Guards against a single peer holding the copies of the whole region, and against lookups that miss a holder.
test('copies spread over the region and a lookup queries their holders without querying every node', () => {
  const { nodes } = fleetOf(...NAMES);
  const holders = new Set<string>();
  for (let index = 0; index < 60; index += 1) {
    const organisationId = `org-${index}`;
    const [owner, retry] = [nodes[index % NAMES.length], nodes[(index + 1) % NAMES.length]];
    assert.ok(owner !== undefined && retry !== undefined);
    const chosen = copyPeerAddresses(owner.context, organisationId);
    const self = retry.core.board.identity.peerAddress;
    const queried = lookupPeers(retry.context, organisationId).map((peer) => peer.sender.peerAddress);
    assert.ok(chosen.every((address) => address === self || queried.includes(address)));
    assert.ok(queried.length < NAMES.length / 2);
    chosen.forEach((address) => holders.add(address));
  }
  assert.ok(holders.size > NAMES.length / 2);
});
