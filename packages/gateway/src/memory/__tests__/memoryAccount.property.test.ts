import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MemoryHolder } from '../memoryAccount.ts';
import { MemoryAccount, MemoryClass, MemoryUse } from '../memoryAccount.ts';

const BOUND_BYTES = 1_000;
const CONNECTIONS = 6;
const SWEEP_MS = 100;
/** More sweeps than it takes to end each holder once for the sake of a waiter. */
const SETTLING_SWEEPS = 200;

type Step =
  | { readonly kind: 'grow'; readonly index: number; readonly bytes: number; readonly isLarge: boolean }
  | { readonly kind: 'shrink'; readonly index: number; readonly part: number }
  | { readonly kind: 'close'; readonly index: number }
  | { readonly kind: 'progress'; readonly index: number }
  | { readonly kind: 'sweep' };

const index = fc.nat({ max: CONNECTIONS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('grow' as const),
    index,
    bytes: fc.integer({ min: 1, max: BOUND_BYTES / 2 }),
    isLarge: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('shrink' as const),
    index,
    part: fc.double({ min: 0, max: 1, noNaN: true }),
  }),
  fc.record({ kind: fc.constant('close' as const), index }),
  fc.record({ kind: fc.constant('progress' as const), index }),
  fc.record({ kind: fc.constant('sweep' as const) }),
);

/** A connection as the account sees it, which counts its own bytes. */
class ModelConnection implements MemoryHolder {
  heldBytes = 0;
  idleMs = 0;
  wasReclaimed = false;
  withdraw: (() => void) | undefined;

  constructor(private readonly account: MemoryAccount) {}

  get reclaimableBytes(): number {
    return this.heldBytes;
  }

  sweep(elapsedMs: number): boolean {
    this.idleMs += elapsedMs;
    return this.heldBytes > 0 || this.withdraw !== undefined;
  }

  grow(bytes: number, isLarge: boolean): void {
    if (this.withdraw !== undefined) {
      return;
    }
    const use = MemoryUse.Reading;
    this.account.addHolder(this);
    if (!isLarge) {
      this.heldBytes += this.account.allocateOrReclaim(use, bytes) ? bytes : 0;
    } else if (this.account.tryAllocate(use, bytes, MemoryClass.Large)) {
      this.heldBytes += bytes;
    } else {
      this.withdraw = this.account.wait({
        use,
        bytes,
        memoryClass: MemoryClass.Large,
        onAllocated: () => {
          this.withdraw = undefined;
          this.heldBytes += bytes;
        },
      });
    }
  }

  shrink(bytes: number): void {
    this.heldBytes -= bytes;
    this.account.release(MemoryUse.Reading, bytes);
  }

  reclaim(): void {
    this.wasReclaimed = true;
    this.withdraw?.();
    this.withdraw = undefined;
    this.shrink(this.heldBytes);
  }
}

function apply(account: MemoryAccount, connections: readonly ModelConnection[], next: Step): void {
  if (next.kind === 'sweep') {
    account.sweep(SWEEP_MS);
    return;
  }
  const connection = connections[next.index];
  assert.ok(connection !== undefined);
  switch (next.kind) {
    case 'grow':
      connection.grow(next.bytes, next.isLarge);
      break;
    case 'shrink':
      connection.shrink(Math.floor(connection.heldBytes * next.part));
      break;
    case 'close':
      account.removeHolder(connection);
      connection.reclaim();
      break;
    case 'progress':
      connection.idleMs = 0;
      break;
  }
}

function heldBytes(connections: readonly ModelConnection[]): number {
  return connections.reduce((sum, connection) => sum + connection.heldBytes, 0);
}

test('in any order of grow, shrink and close, the allocated bytes are those held and stay within the bound', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const account = new MemoryAccount(BOUND_BYTES);
      const connections = Array.from({ length: CONNECTIONS }, () => new ModelConnection(account));
      for (const next of steps) {
        apply(account, connections, next);
        assert.ok(account.allocatedBytes <= BOUND_BYTES);
        assert.equal(account.allocatedBytes, heldBytes(connections));
        assert.equal(account.bytesOf(MemoryUse.Reading), heldBytes(connections));
      }
      for (const connection of connections) {
        account.removeHolder(connection);
        connection.reclaim();
      }
      assert.equal(account.allocatedBytes, 0);
      assert.equal(account.waiterCount, 0);
    }),
    { seed: 1, numRuns: 2_000 },
  );
});

test('no allocation waits forever, also if nobody makes progress', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const account = new MemoryAccount(BOUND_BYTES);
      const connections = Array.from({ length: CONNECTIONS }, () => new ModelConnection(account));
      for (const next of steps) {
        apply(account, connections, next);
      }
      for (let sweep = 0; sweep < SETTLING_SWEEPS; sweep += 1) {
        account.sweep(SWEEP_MS);
      }
      assert.equal(account.waiterCount, 0);
    }),
    { seed: 1, numRuns: 2_000 },
  );
});
