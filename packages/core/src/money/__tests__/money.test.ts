import assert from 'node:assert/strict';
import { test } from 'node:test';
import { completeReservation, releaseReservation } from '../reservations.ts';
import { reserve } from '../reserve.ts';
import type { Node } from './fleet.ts';
import { budgetOf, fleetOf, ORGANISATION, reserveOn } from './fleet.ts';

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
