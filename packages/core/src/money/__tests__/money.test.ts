import assert from 'node:assert/strict';
import { test } from 'node:test';
import { completeReservation, releaseReservation } from '../reservations.ts';
import { reserve } from '../reserve.ts';
import { availableMicros } from '../shares.ts';
import type { Node } from './fleet.ts';
import { budgetOf, fleetOf, ORGANISATION, reserveOn, TOP_UP } from './fleet.ts';

test('a request is reserved from a draw, settled once and its rest released', () => {
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

test('lost answers of draws and settlements neither double credit nor double charge', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const [a] = nodes as [Node];
  let commits = 0;
  fleet.losesReply = () => (commits += 1) % 2 === 1;
  let charged = 0;
  for (let index = 0; index < 20; index += 1) {
    const reservation = reserveOn(fleet, a, `r${index}`, 200);
    fleet.run(1_500);
    if (reservation !== undefined) {
      charged += 150;
      fleet.start(a, completeReservation(a.context, reservation, 150));
    }
  }
  fleet.run(20_000);
  assert.ok(charged >= 1_500);
  assert.equal(budgetOf(fleet).settledMicros, charged);
  const share = a.core.board.money.shares.get(ORGANISATION);
  const row = fleet.table.amounts(`share/${ORGANISATION}/${a.core.board.incarnationId}`);
  assert.equal(share?.grantedMicros, row.grantedMicros);
});

test('two cores that race for one budget never reserve more than it holds', () => {
  const { fleet, nodes } = fleetOf('a', 'b');
  const places = nodes.flatMap((node) =>
    Array.from({ length: 15 }, (_, index) => {
      const requestId = `${node.name}${index}`;
      const request = { requestId, organisationId: ORGANISATION, amountMicros: 900, deadlineMs: Infinity };
      return fleet.start(node, reserve(node.context, request));
    }),
  );
  fleet.run(3_000);
  const granted = places.filter(({ result }) => result?.isOk() === true).length;
  assert.ok(granted >= 8 && granted <= 11, `granted ${granted}`);
});

test('a released reservation is free for the next request without the store', () => {
  const { fleet, nodes } = fleetOf('a');
  const [a] = nodes as [Node];
  const first = reserveOn(fleet, a, 'r1', 10_000);
  assert.ok(first);
  fleet.storeDown = true;
  releaseReservation(a.context, first);
  assert.ok(reserveOn(fleet, a, 'r2', 10_000));
});

test('money whose return has no answer yet is not reserved, even if the return takes effect late', () => {
  for (const lateMs of [700, 2_700]) {
    const { fleet, nodes } = fleetOf('a', 'b');
    const [a, b] = nodes as [Node, Node];
    const first = reserveOn(fleet, a, 'r1', 1_000);
    assert.ok(first);
    // The rest of the budget is taken: a draw would write the share row and so stop the late return.
    const restMicros = TOP_UP.amountMicros - budgetOf(fleet).allocatedMicros;
    assert.ok(reserveOn(fleet, b, 'rest', restMicros));
    releaseReservation(a.context, first);
    const { money } = a.core.board;
    const share = money.shares.get(ORGANISATION);
    assert.ok(share);
    const drawnMicros = availableMicros(share);
    fleet.commitDelayMs = () => lateMs;
    money.returning = true;
    money.drawRequests.push(ORGANISATION);
    fleet.run(20);
    money.returning = false;
    fleet.commitDelayMs = () => 0;
    // The first requests come before the return takes effect, the later ones after the row was read without it.
    for (let index = 0; index < 80; index += 1) {
      const requestId = `late${index}`;
      const request = {
        requestId,
        organisationId: ORGANISATION,
        amountMicros: drawnMicros,
        deadlineMs: Infinity,
      };
      fleet.start(a, reserve(a.context, request));
      fleet.run(50);
      const row = fleet.table.amounts(`share/${ORGANISATION}/${a.core.board.incarnationId}`);
      const outstanding = row.grantedMicros - row.settledMicros - row.returnedMicros;
      assert.ok(
        outstanding >= share.committedMicros,
        `${outstanding} outstanding, ${share.committedMicros} committed`,
      );
    }
  }
});
