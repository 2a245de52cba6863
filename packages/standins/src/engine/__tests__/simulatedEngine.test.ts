import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { expectedAnswer, expectedOutputTokens } from '../answerText.ts';
import { SimulatedEngine, SubmitOutcome } from '../simulatedEngine.ts';
import type { SimulatedEngineOptions } from '../options.ts';
import { SequenceState } from '../sequence.ts';

const CHARACTERS_PER_BLOCK = 256;

function engineRequest(requestId: string, promptLength = 3 * CHARACTERS_PER_BLOCK, priority = 0) {
  const messages = [{ role: 'user', content: 'x'.repeat(promptLength) }];
  return { requestId, model: 'm', messages, maxOutputTokens: 8, priority };
}

function createEngine(options: Partial<SimulatedEngineOptions> = {}): SimulatedEngine {
  return new SimulatedEngine({ tokenIntervalMs: 10, tokenIntervalPerSequenceMs: 5, ...options });
}

describe('SimulatedEngine', () => {
  it('generates the expected answer of each request ID (mixed-up answers must be detectable)', () => {
    const engine = createEngine();
    engine.submit(engineRequest('a'), 0);
    engine.submit(engineRequest('b'), 0);
    engine.advance(1_000);
    for (const requestId of ['a', 'b']) {
      const chunks = engine.sequence(requestId)?.chunks ?? [];
      const count = expectedOutputTokens(requestId, 8);
      assert.equal(chunks.map(({ text }) => text).join(''), expectedAnswer(requestId, count));
      assert.equal(chunks.at(-1)?.finish?.outputTokens, count);
    }
    assert.notEqual(expectedAnswer('a', 4), expectedAnswer('b', 4));
  });

  it('generates the same stream at any step size of the time (server timers must not change answers)', () => {
    const coarse = createEngine({ maxRunning: 2 });
    const fine = createEngine({ maxRunning: 2 });
    for (const engine of [coarse, fine]) {
      ['a', 'b', 'c'].forEach((id) => engine.submit(engineRequest(id), 0));
    }
    for (let nowMs = 0; nowMs <= 500; nowMs += 1) {
      fine.advance(nowMs);
    }
    coarse.advance(500);
    assert.deepEqual(fine.sequence('c'), coarse.sequence('c'));
    assert.equal(fine.sequence('c')?.state, SequenceState.Finished);
  });

  it('limits the batch and the queue, and starts higher priorities first', () => {
    const engine = createEngine({ maxRunning: 1, maxQueued: 2 });
    const outcomes = [
      engine.submit(engineRequest('first'), 0),
      engine.submit(engineRequest('low', CHARACTERS_PER_BLOCK, 1), 0),
      engine.submit(engineRequest('high', CHARACTERS_PER_BLOCK, 9), 0),
      engine.submit(engineRequest('extra'), 0),
      engine.submit(engineRequest('low'), 0),
    ];
    const { Accepted, QueueFull, AlreadyKnown } = SubmitOutcome;
    assert.deepEqual(outcomes, [Accepted, Accepted, Accepted, QueueFull, AlreadyKnown]);
    engine.cancel('first', 1);
    assert.equal(engine.sequence('high')?.state, SequenceState.Running);
    assert.equal(engine.sequence('low')?.state, SequenceState.Queued);
  });

  it('spends prefill time only on uncached prompt blocks and slows down with the batch size', () => {
    const engine = createEngine({ prefillMsPerBlock: 100 });
    engine.submit(engineRequest('cold'), 0);
    assert.equal(engine.nextEventMs(), 310);
    engine.submit(engineRequest('warm'), 0);
    assert.equal(engine.nextEventMs(), 15);
    assert.equal(engine.sequence('warm')?.cachedPromptTokens, 3 * 64);
  });

  it('evicts the least recently used blocks when the cache is full', () => {
    const engine = createEngine({ cacheBlocks: 3, prefillMsPerBlock: 100 });
    engine.submit(engineRequest('a'), 0);
    const other = {
      ...engineRequest('b'),
      messages: [{ role: 'user', content: 'y'.repeat(3 * CHARACTERS_PER_BLOCK) }],
    };
    engine.submit(other, 0);
    engine.submit(engineRequest('again'), 0);
    assert.equal(engine.sequence('again')?.cachedPromptTokens, 0);
  });

  it('cancels a stream without a reader after the limit, removes it later, and keeps a stream with a reader', () => {
    const engine = createEngine({ tokenIntervalMs: 5_000, unreadLimitMs: 10_000, keepMs: 60_000 });
    engine.submit(engineRequest('unread'), 0);
    engine.submit(engineRequest('read'), 0);
    engine.addReader('read');
    engine.advance(10_001);
    assert.equal(engine.sequence('unread')?.state, SequenceState.Cancelled);
    assert.equal(engine.sequence('read')?.state, SequenceState.Running);
    engine.advance(70_001);
    assert.equal(engine.sequence('unread'), undefined);
    assert.notEqual(engine.sequence('read'), undefined);
  });
});
