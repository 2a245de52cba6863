import assert from 'node:assert/strict';
import { test } from 'node:test';
import { completeReservation, releaseReservation } from '../reservations.ts';
import { reserve } from '../reserve.ts';
import { availableMicros } from '../shares.ts';
import type { Node } from './fleet.ts';
import { budgetOf, fleetOf, ORGANISATION, reserveOn, TOP_UP } from './fleet.ts';

test('a request is reserved from a draw, settled once, and the unspent rest is released', () => {
  const { fleet, nodes } = fleetOf('a');
  const [a] = nodes as [Node];
  const reservation = reserveOn(fleet, a, 'r1', 1_000);
  assert.ok(reservation);
  fleet.start(a, completeReservation(a.context, reservation, 300));
  fleet.run(3_000);
  assert.equal(budgetOf(fleet).settledMicros, 300);
  assert.equal(a.core.board.money.ownRecords.size, 0);
  assert.equal(a.core.board.money.shares.get(ORGANISATION)?.committedMicros, 0);
});

test('lost answers to draws and settlements cause neither double credit nor double charges', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a] = nodes as [Node];
  let commitCount = 0;
  fleet.losesReply = () => (commitCount += 1) % 2 === 1;
  let chargedMicros = 0;
  for (let index = 0; index < 20; index += 1) {
    const reservation = reserveOn(fleet, a, `r${index}`, 200);
    fleet.run(1_500);
    if (reservation !== undefined) {
      chargedMicros += 150;
      fleet.start(a, completeReservation(a.context, reservation, 150));
    }
  }
  fleet.run(20_000);
  assert.ok(chargedMicros >= 1_500);
  assert.equal(budgetOf(fleet).settledMicros, chargedMicros);
  const share = a.core.board.money.shares.get(ORGANISATION);
  const row = fleet.table.amounts(`share/${ORGANISATION}/${a.core.board.incarnationId}`);
  assert.equal(share?.grantedMicros, row.grantedMicros);
});

test('two cores that contend for one budget never reserve more than it holds', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const started = nodes.flatMap((node) =>
    Array.from({ length: 15 }, (_, index) => {
      const requestId = `${node.name}${index}`;
      const request = { requestId, organisationId: ORGANISATION, amountMicros: 900, deadlineMs: Infinity };
      return fleet.start(node, reserve(node.context, request));
    }),
  );
  fleet.run(3_000);
  const grantedCount = started.filter(({ result }) => result?.isOk() === true).length;
  assert.ok(grantedCount >= 8 && grantedCount <= 11, `granted ${grantedCount}`);
});

test('a released reservation is available to the next request without the store', () => {
  const { fleet, nodes } = fleetOf('a');
  const [a] = nodes as [Node];
  const first = reserveOn(fleet, a, 'r1', 10_000);
  assert.ok(first);
  fleet.storeDown = true;
  releaseReservation(a.context, first);
  assert.ok(reserveOn(fleet, a, 'r2', 10_000));
});

test('an amount whose return is unanswered is not reserved, even if the return takes effect late', () => {
  for (const lateMs of [700, 2_700]) {
    const { fleet, nodes } = fleetOf('a', 'b');
    const [a, b] = nodes as [Node, Node];
    const first = reserveOn(fleet, a, 'r1', 1_000);
    assert.ok(first);
    // Uses up the budget, because a draw would write the share row and thereby make the late return fail.
    const restMicros = TOP_UP.amountMicros - budgetOf(fleet).allocatedMicros;
    assert.ok(reserveOn(fleet, b, 'rest', restMicros));
    releaseReservation(a.context, first);
    const { money } = a.core.board;
    const share = money.shares.get(ORGANISATION);
    assert.ok(share);
    const shareMicros = availableMicros(share);
    fleet.commitDelayMs = () => lateMs;
    money.returning = true;
    money.drawRequests.push(ORGANISATION);
    fleet.run(20);
    money.returning = false;
    fleet.commitDelayMs = () => 0;
    // The first requests start before the return takes effect, the later ones after a read of the row without it.
    for (let index = 0; index < 80; index += 1) {
      const requestId = `late${index}`;
      const request = {
        requestId,
        organisationId: ORGANISATION,
        amountMicros: shareMicros,
        deadlineMs: Infinity,
      };
      fleet.start(a, reserve(a.context, request));
      fleet.run(50);
      const row = fleet.table.amounts(`share/${ORGANISATION}/${a.core.board.incarnationId}`);
      const outstandingMicros = row.grantedMicros - row.settledMicros - row.returnedMicros;
      assert.ok(
        outstandingMicros >= share.committedMicros,
        `${outstandingMicros} outstanding, ${share.committedMicros} committed`,
      );
    }
  }
});
