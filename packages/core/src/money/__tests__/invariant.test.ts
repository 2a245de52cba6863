import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { completeReservation, releaseReservation } from '../reservations.ts';
import { reserve } from '../reserve.ts';
import { availableMicros } from '../shares.ts';
import type { Reservation } from '../types.ts';
import type { Fleet, Node } from './fleet.ts';
import { budgetOf, fleetOf, ORGANISATION } from './fleet.ts';

const FUNDED_MICROS = 10_000;

const action = fc.oneof(
  fc.record({
    kind: fc.constant('reserve' as const),
    node: fc.nat(2),
    micros: fc.integer({ min: 1, max: 3_000 }),
  }),
  fc.record({ kind: fc.constant('finish' as const), part: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ kind: fc.constant('release' as const) }),
  fc.record({ kind: fc.constant('store' as const), fault: fc.constantFrom('none', 'down', 'lost', 'late') }),
  fc.record({ kind: fc.constant('pause' as const), node: fc.nat(2) }),
  fc.record({ kind: fc.constant('drain' as const), node: fc.nat(2), returning: fc.boolean() }),
  fc.record({ kind: fc.constant('wait' as const), durationMs: fc.integer({ min: 5, max: 5_000 }) }),
);
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

/** Runs actions on three routers and tracks the amounts that requests have reserved and used. */
class ReservationModel {
  readonly fleet: Fleet;
  private readonly nodes: Node[];
  private readonly open: { node: Node; reservation: Reservation }[] = [];
  private usedMicros = 0;
  private requestCount = 0;

  constructor() {
    ({ fleet: this.fleet, nodes: this.nodes } = fleetOf('a', 'b', 'c'));
  }

  apply(step: Action): void {
    switch (step.kind) {
      case 'reserve':
        this.reserve(this.nodeAt(step.node), step.micros);
        break;
      case 'finish':
        this.finish(step.part);
        break;
      case 'release': {
        const entry = this.open.shift();
        if (entry !== undefined) {
          releaseReservation(entry.node.context, entry.reservation);
        }
        break;
      }
      case 'store':
        this.setFault(step.fault);
        break;
      case 'pause': {
        const node = this.nodeAt(step.node);
        node.paused = !node.paused;
        break;
      }
      case 'drain':
        this.nodeAt(step.node).core.board.money.returning = step.returning;
        break;
      case 'wait':
        this.fleet.run(step.durationMs, 25);
    }
    this.assertWithinFunds();
  }

  /** Clears all faults, completes all requests and asserts that each used amount is settled exactly once. */
  finishAll(): void {
    this.setFault('none');
    for (const node of this.nodes) {
      node.paused = false;
    }
    this.fleet.run(3_000, 25);
    while (this.open.length > 0) {
      this.finish(0.5);
    }
    this.fleet.run(15_000, 25);
    this.assertWithinFunds();
    assert.equal(budgetOf(this.fleet).settledMicros, this.usedMicros);
  }

  private nodeAt(index: number): Node {
    const node = this.nodes[index];
    assert.ok(node);
    return node;
  }

  private reserve(node: Node, amountMicros: number): void {
    const requestId = `r${(this.requestCount += 1)}`;
    const request = { requestId, organisationId: ORGANISATION, amountMicros, deadlineMs: Infinity };
    const { open } = this;
    this.fleet.start(
      node,
      (function* () {
        const result = yield* reserve(node.context, request);
        if (result.isOk()) {
          open.push({ node, reservation: result.value });
        }
        return result;
      })(),
    );
    this.fleet.run(50, 25);
  }

  private finish(part: number): void {
    const entry = this.open.shift();
    if (entry !== undefined) {
      const usedMicros = Math.floor(entry.reservation.amountMicros * part);
      this.usedMicros += usedMicros;
      this.fleet.start(entry.node, completeReservation(entry.node.context, entry.reservation, usedMicros));
    }
  }

  private setFault(fault: string): void {
    this.fleet.storeDown = fault === 'down';
    this.fleet.losesReply = () => fault === 'lost';
    this.fleet.commitDelayMs = () => (fault === 'late' ? 1_700 : 0);
  }

  private assertWithinFunds(): void {
    const openMicros = this.open.reduce((sum, entry) => sum + entry.reservation.amountMicros, 0);
    assert.ok(this.usedMicros + openMicros <= FUNDED_MICROS, 'the granted amounts exceed the funded amount');
    const shares = this.nodes.flatMap((node) => node.core.board.money.shares.get(ORGANISATION) ?? []);
    assert.ok(shares.every((share) => availableMicros(share) >= 0));
  }
}

test('no amount is granted twice and usage is settled once despite lost and late commits, pauses and returns', () => {
  fc.assert(
    fc.property(fc.array(action, { minLength: 5, maxLength: 40 }), (steps) => {
      const reservationModel = new ReservationModel();
      for (const step of steps) {
        reservationModel.apply(step);
      }
      reservationModel.finishAll();
    }),
    { numRuns: 60, seed: 20261204 },
  );
});
