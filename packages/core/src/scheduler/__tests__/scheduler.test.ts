import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Channel } from '../channel.ts';
import { Scheduler } from '../scheduler.ts';
import type { Task } from '../task.ts';
import { receive, sleepUntil } from '../task.ts';

const failOnTaskFailure = (taskName: string, cause: unknown): void => {
  throw new Error(`Task ${taskName} failed`, { cause });
};

test('keeps an event that arrives before the task waits for it', () => {
  const scheduler = new Scheduler(failOnTaskFailure);
  const channel = new Channel<number>();
  const received: (number | undefined)[] = [];
  function* reader(): Task<void> {
    yield* sleepUntil(10);
    received.push(yield* receive(channel, 20));
  }
  scheduler.spawn('reader', reader());
  scheduler.run(0);
  channel.push(7);
  scheduler.run(10);
  assert.deepEqual(received, [7]);
  assert.equal(scheduler.taskCount, 0);
});

test('reports the deadline of a waiting task and ends the wait when it passes', () => {
  const scheduler = new Scheduler(failOnTaskFailure);
  const channel = new Channel<number>();
  const received: (number | undefined)[] = [];
  function* reader(): Task<void> {
    received.push(yield* receive(channel, 20));
  }
  scheduler.spawn('reader', reader());
  scheduler.run(0);
  assert.equal(scheduler.nextDeadlineMs, 20);
  scheduler.run(19);
  assert.deepEqual(received, []);
  scheduler.run(20);
  assert.deepEqual(received, [undefined]);
});

test('reports a task that throws and keeps running the others', () => {
  const failures: string[] = [];
  const scheduler = new Scheduler((taskName) => failures.push(taskName));
  let otherRan = false;
  function* broken(): Task<void> {
    yield* sleepUntil(0);
    throw new Error('defect');
  }
  function* other(): Task<void> {
    yield* sleepUntil(0);
    otherRan = true;
  }
  scheduler.spawn('broken', broken());
  scheduler.spawn('other', other());
  scheduler.run(0);
  assert.deepEqual(failures, ['broken']);
  assert.ok(otherRan);
});

// Guards against runs that cannot be reproduced from their seed.
test('runs tasks that expire together in spawn order', () => {
  const scheduler = new Scheduler(failOnTaskFailure);
  const order: number[] = [];
  function* sleeper(deadlineMs: number): Task<void> {
    yield* sleepUntil(deadlineMs);
    order.push(deadlineMs);
  }
  for (const deadlineMs of [30, 10, 20]) {
    scheduler.spawn('sleeper', sleeper(deadlineMs));
  }
  scheduler.run(0);
  assert.equal(scheduler.nextDeadlineMs, 10);
  scheduler.run(40);
  assert.deepEqual(order, [30, 10, 20]);
});

test('does not wake a task at the deadline of a wait that an item has ended', () => {
  const scheduler = new Scheduler(failOnTaskFailure);
  const channel = new Channel<number>();
  let resumeCount = 0;
  function* reader(): Task<void> {
    yield* receive(channel, 10);
    resumeCount += 1;
    yield* sleepUntil(50);
    resumeCount += 1;
  }
  scheduler.spawn('reader', reader());
  scheduler.run(0);
  channel.push(1);
  scheduler.run(5);
  assert.equal(scheduler.nextDeadlineMs, 50);
  scheduler.run(20);
  assert.equal(resumeCount, 1);
});

test('leaves no deadline behind when a task fails while starting to wait', () => {
  const failures: string[] = [];
  const scheduler = new Scheduler((taskName) => failures.push(taskName));
  const channel = new Channel<number>();
  function* reader(): Task<void> {
    yield* receive(channel, 10);
  }
  scheduler.spawn('first', reader());
  scheduler.spawn('second', reader());
  scheduler.run(0);
  assert.deepEqual(failures, ['second']);
  channel.push(1);
  scheduler.run(5);
  assert.deepEqual([scheduler.taskCount, scheduler.nextDeadlineMs], [0, Infinity]);
});
