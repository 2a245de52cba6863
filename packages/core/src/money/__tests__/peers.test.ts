import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordState } from '../../types/messages.ts';
import { RefusalReason } from '../../types/verdict.ts';
import { recordKey } from '../keys.ts';
import { findRecords, replicateReservation, releaseReservation } from '../reservations.ts';
import { reserve } from '../reserve.ts';
import type { Node } from './fleet.ts';
import { budgetOf, fleetOf, ORGANISATION, reserveOn, TOP_UP } from './fleet.ts';

test('a top-up is applied once even if several routers see it and answers are lost', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  fleet.losesReply = () => true;
  fleet.configure([TOP_UP, { topUpId: 'second', amountMicros: 500 }]);
  fleet.run(12_000, 25);
  fleet.losesReply = () => false;
  for (const node of nodes) {
    reserveOn(fleet, node, `r-${node.name}`, 100);
  }
  assert.deepEqual(budgetOf(fleet).fundedMicros, 10_500);
});

test('a refusal names the peer whose share covers the amount, and a paused router reports the pause', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a, b] = nodes as [Node, Node];
  const all = reserveOn(fleet, b, 'all', 10_000);
  assert.ok(all);
  releaseReservation(b.context, all);
  fleet.run(10);
  const reserveFailure = (requestId: string): unknown => {
    const request = { requestId, organisationId: ORGANISATION, amountMicros: 9_000, deadlineMs: Infinity };
    const started = fleet.start(a, reserve(a.context, request));
    fleet.run(410);
    return started.result?.isErr() === true ? started.result.error : undefined;
  };
  assert.deepEqual(reserveFailure('r1'), {
    reason: RefusalReason.BudgetExhausted,
    redirectAddress: 'b:8080',
  });
  fleet.storeDown = true;
  a.paused = true;
  fleet.run(5_000);
  a.paused = false;
  fleet.run(5);
  assert.deepEqual(reserveFailure('r2'), { reason: RefusalReason.Paused, redirectAddress: 'b:8080' });
});

test('a replicated reservation is found through its copy, and is removed once it is released', () => {
  const { fleet, nodes } = fleetOf('a', 'b', 'c');
  const [a, b, c] = nodes as [Node, Node, Node];
  const reservation = reserveOn(fleet, a, 'r1', 100);
  assert.ok(reservation);
  fleet.start(a, replicateReservation(a.context, reservation, 'engine:1'));
  fleet.run(20);
  assert.equal(a.core.board.money.acknowledgedBy.get(recordKey(reservation))?.size, 2);
  a.dead = true;
  const found = fleet.start(c, findRecords(c.context, ORGANISATION, 'r1'));
  fleet.run(100);
  assert.equal(found.result?.records[0]?.upstreamAddress, 'engine:1');
  a.dead = false;
  fleet.run(10);
  releaseReservation(a.context, reservation);
  fleet.run(20);
  assert.equal(b.core.board.money.copies.size + c.core.board.money.copies.size, 0);
});

test('usage that nothing covers is audited as uncharged and never overdraws the budget', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a, b] = nodes as [Node, Node];
  assert.ok(reserveOn(fleet, a, 'all', 10_000));
  const record = {
    requestId: 'lost',
    organisationId: ORGANISATION,
    incarnationId: 'unknown-incarnation',
    state: RecordState.Used,
    amountMicros: 50,
    upstreamAddress: undefined,
  };
  const owner = { receivedAtMs: fleet.nowMs, ownerVmId: 'vm-x', ownerPeerAddress: 'x:8081' };
  b.core.board.money.copies.set(recordKey(record), { record, ...owner });
  b.core.board.money.orphanKeys.add(recordKey(record));
  fleet.run(5_000);
  assert.equal(budgetOf(fleet).settledMicros, 0);
  assert.ok(!b.core.board.money.copies.has(recordKey(record)));
  const auditKeys = [...fleet.table.rows.keys()].filter((key) => key.startsWith('audit/'));
  assert.deepEqual(auditKeys, [`audit/0/uncharged-${ORGANISATION}-lost`]);
});

test('idle excess is returned only in the region of the store', () => {
  for (const region of ['nairobi', 'mombasa']) {
    const { fleet, nodes } = fleetOf();
    const node = fleet.add('a', region);
    nodes.push(node);
    fleet.configure([TOP_UP]);
    fleet.run(50);
    for (let index = 0; index < 9; index += 1) {
      const reservation = reserveOn(fleet, node, `r${index}`, 500);
      assert.ok(reservation);
      releaseReservation(node.context, reservation);
    }
    // Simulates a past demand peak, for which the share draws far more than four worst cases.
    const share = node.core.board.money.shares.get(ORGANISATION);
    assert.ok(share);
    share.demandMicrosPerSecond = 10_000;
    fleet.run(1_500);
    const beforeMicros = budgetOf(fleet).allocatedMicros;
    fleet.run(300_000, 100);
    assert.equal(budgetOf(fleet).allocatedMicros < beforeMicros, region === 'nairobi', region);
  }
});
