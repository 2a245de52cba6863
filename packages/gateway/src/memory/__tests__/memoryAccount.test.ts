import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemoryHolder } from '../memoryAccount.ts';
import { MemoryAccount, MemoryClass, MemoryUse, ORDINARY_BODY_BYTES } from '../memoryAccount.ts';
import { connectionLimits, memoryBoundBytes } from '../options.ts';

const MB = 1_048_576;

function createHolder(
  account: MemoryAccount,
  bytes: number,
  idleMs: number,
): MemoryHolder & { ended: boolean } {
  const holder = {
    ended: false,
    reclaimableBytes: bytes,
    idleMs,
    sweep: () => true,
    reclaim: () => {
      holder.ended = true;
      account.release(MemoryUse.Reading, bytes);
    },
  };
  assert.ok(account.tryAllocate(MemoryUse.Reading, bytes, MemoryClass.Ordinary));
  account.addHolder(holder);
  return holder;
}

test('large bodies leave a part of the bound to ordinary requests (a crowd of them would stop all others)', () => {
  const account = new MemoryAccount(100);
  assert.ok(account.tryAllocate(MemoryUse.Reading, 75, MemoryClass.Large));
  assert.ok(!account.tryAllocate(MemoryUse.Reading, 1, MemoryClass.Large));
  assert.ok(account.allocateOrReclaim(MemoryUse.Reading, 25));
  assert.ok(!account.allocateOrReclaim(MemoryUse.Reading, 1));
});

test('an ordinary request ends a large body, but not another ordinary one that makes progress', () => {
  const account = new MemoryAccount(8 * ORDINARY_BODY_BYTES);
  const large = createHolder(account, 6 * ORDINARY_BODY_BYTES, 0);
  const ordinary = createHolder(account, 2 * ORDINARY_BODY_BYTES, 0);
  assert.ok(account.allocateOrReclaim(MemoryUse.Reading, 6 * ORDINARY_BODY_BYTES));
  assert.deepEqual([large.ended, ordinary.ended], [true, false]);
  assert.ok(!account.allocateOrReclaim(MemoryUse.Reading, 1));
  assert.ok(!ordinary.ended);
});

test('a holder without progress is ended for an allocation that waits, before the larger one with progress', () => {
  const account = new MemoryAccount(100);
  const idle = createHolder(account, 30, 3_000);
  const busy = createHolder(account, 60, 0);
  let allocated = false;
  account.wait({
    use: MemoryUse.Reading,
    bytes: 15,
    memoryClass: MemoryClass.Large,
    onAllocated: () => {
      allocated = true;
    },
  });
  account.sweep(100);
  assert.deepEqual([idle.ended, busy.ended, allocated], [true, false, true]);
});

test('the bound always admits one body of the largest legal size', () => {
  const account = new MemoryAccount(10);
  account.admit(1_000);
  assert.ok(account.tryAllocate(MemoryUse.Reading, 1_000, MemoryClass.Large));
});

test('the bound leaves the idle process its memory, and has a floor on a VM that is smaller than that', () => {
  assert.equal(memoryBoundBytes(88), 16 * MB);
  assert.equal(memoryBoundBytes(178), 33 * MB);
  assert.equal(memoryBoundBytes(602), 96 * MB);
});

test('callers get three quarters of the descriptors that are not reserved for files', () => {
  assert.deepEqual(connectionLimits(4_100), { maxCallerConnections: 2_925, maxOtherConnections: 121 });
  assert.deepEqual(connectionLimits(100), { maxCallerConnections: 16, maxOtherConnections: 16 });
});
