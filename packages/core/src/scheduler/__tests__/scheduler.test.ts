import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Channel } from '../channel.ts';
import { Scheduler } from '../scheduler.ts';
import type { Task } from '../task.ts';
import { receive, sleepUntil } from '../task.ts';

const failOnDefect = (taskName: string, cause: unknown): void => {
  throw new Error(`Task ${taskName} failed`, { cause });
};

test('an event that arrives before the task looks is not lost', () => {
  const scheduler = new Scheduler(failOnDefect);
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

test('a wait ends at its deadline and reports the next deadline before it', () => {
  const scheduler = new Scheduler(failOnDefect);
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

test('a task that throws is reported and does not stop the others', () => {
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
