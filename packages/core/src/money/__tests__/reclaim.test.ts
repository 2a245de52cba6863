import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IncarnationStatus } from '../../blackboard.ts';
import { completeReservation, replicateReservation } from '../reservations.ts';
import { returnAllShares } from '../returnAllShares.ts';
import { shareLevels } from '../shareLevels.ts';
import type { Node } from './fleet.ts';
import {
  budgetOf,
  fleetOf,
  ORGANISATION,
  reserveOn,
  routerState,
  removeFromMembershipList,
} from './fleet.ts';

test('the shares of a dead router are returned, its usage is charged and its open reservation is held until the limit', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a] = nodes as [Node];
  const used = reserveOn(fleet, a, 'used', 500);
  const open = reserveOn(fleet, a, 'open', 700);
  assert.ok(used && open);
  fleet.storeDown = true;
  fleet.start(a, replicateReservation(a.context, open, 'engine:1'));
  fleet.start(a, completeReservation(a.context, used, 200));
  fleet.run(100);
  a.dead = true;
  fleet.storeDown = false;
  removeFromMembershipList(fleet, a);
  fleet.run(90_000, 50);
  assert.equal(routerState(fleet, a.core.board.incarnationId), 'gone');
  const held = budgetOf(fleet);
  assert.deepEqual([held.settledMicros, held.heldMicros, held.allocatedMicros], [200, 700, 0]);
  assert.ok([...fleet.table.rows.keys()].some((key) => key.includes('/reclaim-')));
  fleet.run(700_000, 500);
  assert.equal(budgetOf(fleet).heldMicros, 0);
});

test('a listed, a heard or a remote router is not reclaimed', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a, b] = nodes as [Node, Node];
  const far = fleet.add('far', 'mombasa');
  fleet.run(100);
  removeFromMembershipList(fleet, a);
  removeFromMembershipList(fleet, far);
  far.dead = true;
  b.dead = true;
  fleet.run(90_000, 50);
  for (const node of [a, b, far]) {
    assert.equal(routerState(fleet, node.core.board.incarnationId), 'active', node.name);
  }
});

test('a router that only the reclaiming router cannot hear is not fenced', () => {
  for (const receiverName of ['b', 'c']) {
    const { fleet, nodes } = fleetOf('a', 'b', 'c');
    const [a] = nodes as [Node];
    fleet.hears = (node, peer) => !(node.name === receiverName && peer === a);
    a.core.board.money.returning = true;
    removeFromMembershipList(fleet, a);
    fleet.run(90_000, 50);
    assert.equal(routerState(fleet, a.core.board.incarnationId), 'active');
  }
});

test('a router that was paused does not mistake missed heartbeats for the death of a peer', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a, b] = nodes as [Node, Node];
  removeFromMembershipList(fleet, b);
  a.paused = true;
  fleet.run(60_000, 50);
  a.paused = false;
  fleet.hears = () => false;
  fleet.run(12_000, 50);
  fleet.hears = () => true;
  fleet.run(60_000, 50);
  assert.equal(routerState(fleet, b.core.board.incarnationId), 'active');
});

test('a router that wakes up fenced refuses until it goes on as a new incarnation with an empty share', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a] = nodes as [Node];
  const fencedId = a.core.board.incarnationId;
  const open = reserveOn(fleet, a, 'open', 700);
  assert.ok(open);
  a.paused = true;
  removeFromMembershipList(fleet, a);
  fleet.run(90_000, 50);
  a.paused = false;
  fleet.storeDown = true;
  assert.equal(reserveOn(fleet, a, 'next', 1), undefined);
  assert.equal(a.core.board.incarnationStatus, IncarnationStatus.Unconfirmed);
  fleet.storeDown = false;
  fleet.run(3_000);
  assert.notEqual(a.core.board.incarnationId, fencedId);
  assert.equal(a.core.board.incarnationStatus, IncarnationStatus.Confirmed);
  fleet.start(a, completeReservation(a.context, open, 300));
  fleet.run(5_000);
  assert.deepEqual([budgetOf(fleet).settledMicros, budgetOf(fleet).heldMicros], [300, 0]);
  assert.ok(reserveOn(fleet, a, 'next', 1));
});

test('a router that is not heard but reaches the store abandons its share before it is reclaimed', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a] = nodes as [Node];
  const fencedId = a.core.board.incarnationId;
  assert.ok(reserveOn(fleet, a, 'open', 700));
  removeFromMembershipList(fleet, a);
  fleet.hears = (node, peer) => node !== a && peer !== a;
  for (let waitedMs = 0; waitedMs < 120_000 && routerState(fleet, fencedId) !== 'gone'; waitedMs += 50) {
    fleet.run(50, 50);
  }
  assert.equal(routerState(fleet, fencedId), 'gone');
  assert.notEqual(a.core.board.incarnationId, fencedId);
});

test('a record that its owner and a copy holder both settle is charged once', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a, b] = nodes as [Node, Node];
  const reservation = reserveOn(fleet, a, 'r1', 500);
  assert.ok(reservation);
  fleet.start(a, completeReservation(a.context, reservation, 200));
  fleet.run(20);
  for (const key of b.core.board.money.copies.keys()) {
    b.core.board.money.orphanKeys.add(key);
  }
  assert.equal(b.core.board.money.orphanKeys.size, 1);
  fleet.losesReply = () => true;
  fleet.run(4_000);
  fleet.losesReply = () => false;
  fleet.run(4_000);
  assert.equal(budgetOf(fleet).settledMicros, 200);
  assert.equal(a.core.board.money.ownRecords.size + b.core.board.money.copies.size, 0);
});

test('a drain settles everything and returns the whole share', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a] = nodes as [Node];
  const reservation = reserveOn(fleet, a, 'r1', 500);
  assert.ok(reservation);
  assert.equal(shareLevels(a.context)[0]?.organisationId, ORGANISATION);
  fleet.start(a, completeReservation(a.context, reservation, 200));
  fleet.run(20);
  const first = fleet.start(a, returnAllShares(a.context));
  fleet.run(500);
  assert.equal(first.result, true);
  assert.deepEqual([budgetOf(fleet).settledMicros, budgetOf(fleet).allocatedMicros], [200, 0]);
  assert.deepEqual(shareLevels(a.context), []);
});
