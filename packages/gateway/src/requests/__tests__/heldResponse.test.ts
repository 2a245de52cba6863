import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MemoryClass, MemoryUse } from '../../memory/memoryAccount.ts';
import { HeldResponse } from '../heldResponse.ts';
import { RequestRig } from './requestRig.ts';

test('an upstream is not read while there is no memory for its response, and is read again once there is', () => {
  const { context } = new RequestRig();
  const { memory } = context.board;
  const calls: string[] = [];
  const held = new HeldResponse(context, {
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
  });
  const otherBytes = memory.bound - 100_000;
  assert.ok(memory.tryAllocate(MemoryUse.Requests, otherBytes, MemoryClass.Ordinary));
  held.update(40_000);
  assert.deepEqual(calls, []);
  held.update(100_000);
  assert.deepEqual(calls, ['pause']);
  memory.release(MemoryUse.Requests, otherBytes);
  assert.deepEqual(calls, ['pause', 'resume']);
  held.release();
  assert.equal(memory.allocatedBytes, 0);
});

test('an attempt that ends while it waits for memory leaves no allocation behind', () => {
  const { context } = new RequestRig();
  const { memory } = context.board;
  const held = new HeldResponse(context, { pause: () => undefined, resume: () => undefined });
  assert.ok(memory.tryAllocate(MemoryUse.Requests, memory.bound, MemoryClass.Ordinary));
  held.update(100_000);
  held.release();
  assert.equal(memory.waiterCount, 0);
  memory.release(MemoryUse.Requests, memory.bound);
  assert.equal(memory.allocatedBytes, 0);
});
