import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CoreEvent, Effect, StepResult } from '@pimentostall/core';
import { EffectKind, EventKind } from '@pimentostall/core';
import { pino } from 'pino';
import type { LoopTimers, SteppableCore } from '../routerLoop.ts';
import { RouterLoop } from '../routerLoop.ts';

class ManualTimers implements LoopTimers {
  readonly immediates: (() => void)[] = [];
  timer: { readonly task: () => void; readonly delayMs: number } | undefined;

  scheduleImmediate(task: () => void): void {
    this.immediates.push(task);
  }

  setTimer(task: () => void, delayMs: number): unknown {
    this.timer = { task, delayMs };
    return this.timer;
  }

  clearTimer(): void {
    this.timer = undefined;
  }

  runAll(): void {
    for (const task of this.immediates.splice(0)) {
      task();
    }
  }
}

function createLoop(core: SteppableCore, execute: (effect: Effect) => void) {
  const timers = new ManualTimers();
  const loop = new RouterLoop({
    core,
    timers,
    execute,
    readClock: () => ({ monotonicMs: 1_000, wallMs: 5_000 }),
    maxStepIntervalMs: 250,
    logger: pino({ level: 'silent' }),
  });
  return { loop, timers };
}

const probe = (callId: string): Effect => ({ kind: EffectKind.UpstreamProbe, callId, address: 'x' });

// Guards against effects that are lost after an error.
test('effects run in order, and one that throws does not stop the next', () => {
  const executed: string[] = [];
  const core = { step: () => ({ effects: [probe('a'), probe('b'), probe('c')], nextDeadlineMs: Infinity }) };
  const { loop, timers } = createLoop(core, (effect) => {
    const { callId } = effect as { callId: string };
    executed.push(callId);
    if (callId === 'b') {
      throw new Error('fault');
    }
  });
  loop.start();
  timers.runAll();
  assert.deepEqual(executed, ['a', 'b', 'c']);
});

// Guards against one input that crashes the router.
test('a step that throws does not stop the loop', () => {
  const steppedKinds: EventKind[][] = [];
  const core = {
    step: (events: readonly CoreEvent[]): StepResult => {
      steppedKinds.push(events.map((event) => event.kind));
      if (steppedKinds.length === 1) {
        throw new Error('fault');
      }
      return { effects: [], nextDeadlineMs: Infinity };
    },
  };
  const { loop, timers } = createLoop(core, () => undefined);
  loop.start();
  timers.runAll();
  loop.submit({ kind: EventKind.StopRequested });
  timers.runAll();
  assert.deepEqual(steppedKinds, [[EventKind.Tick], [EventKind.StopRequested]]);
});

// Guards against pauses of the process that go unnoticed between steps.
test('the timer follows the next deadline and is never longer than the step interval', () => {
  let nextDeadlineMs = 1_040;
  const { loop, timers } = createLoop({ step: () => ({ effects: [], nextDeadlineMs }) }, () => undefined);
  loop.start();
  timers.runAll();
  assert.equal(timers.timer?.delayMs, 40);
  nextDeadlineMs = Infinity;
  timers.timer.task();
  timers.runAll();
  assert.equal(timers.timer.delayMs, 250);
});
