import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { expectedAnswer, expectedOutputTokens } from '../answerText.ts';
import { SimulatedEngine, SubmitOutcome } from '../simulatedEngine.ts';
import type { SimulatedEngineOptions } from '../options.ts';
import { SequenceState } from '../sequence.ts';

const BLOCK = 256;

function request(requestId: string, promptLength = 3 * BLOCK, priority = 0) {
  const messages = [{ role: 'user', content: 'x'.repeat(promptLength) }];
  return { requestId, model: 'm', messages, maxOutputTokens: 8, priority };
}

function model(options: Partial<SimulatedEngineOptions> = {}): SimulatedEngine {
  return new SimulatedEngine({ tokenIntervalMs: 10, tokenIntervalPerSequenceMs: 5, ...options });
}

describe('EngineModel', () => {
  it('generates the whole answer of each identity (a mixed-up answer must be detectable)', () => {
    const engine = model();
    engine.submit(request('a'), 0);
    engine.submit(request('b'), 0);
    engine.advance(1_000);
    for (const requestId of ['a', 'b']) {
      const chunks = engine.sequence(requestId)?.chunks ?? [];
      const count = expectedOutputTokens(requestId, 8);
      assert.equal(chunks.map(({ text }) => text).join(''), expectedAnswer(requestId, count));
      assert.equal(chunks.at(-1)?.finish?.outputTokens, count);
    }
    assert.notEqual(expectedAnswer('a', 4), expectedAnswer('b', 4));
  });

  it('gives the same stream however finely time advances (server timers must not change answers)', () => {
    const coarse = model({ maxRunning: 2 });
    const fine = model({ maxRunning: 2 });
    for (const engine of [coarse, fine]) {
      ['a', 'b', 'c'].forEach((id) => engine.submit(request(id), 0));
    }
    for (let nowMs = 0; nowMs <= 500; nowMs += 1) {
      fine.advance(nowMs);
    }
    coarse.advance(500);
    assert.deepEqual(fine.sequence('c'), coarse.sequence('c'));
    assert.equal(fine.sequence('c')?.state, SequenceState.Finished);
  });

  it('bounds the batch and the queue, and starts a higher priority first', () => {
    const engine = model({ maxRunning: 1, maxQueued: 2 });
    const outcomes = [
      engine.submit(request('first'), 0),
      engine.submit(request('low', BLOCK, 1), 0),
      engine.submit(request('high', BLOCK, 9), 0),
      engine.submit(request('extra'), 0),
      engine.submit(request('low'), 0),
    ];
    const { Accepted, QueueFull, AlreadyKnown } = SubmitOutcome;
    assert.deepEqual(outcomes, [Accepted, Accepted, Accepted, QueueFull, AlreadyKnown]);
    engine.cancel('first', 1);
    assert.equal(engine.sequence('high')?.state, SequenceState.Running);
    assert.equal(engine.sequence('low')?.state, SequenceState.Queued);
  });

  it('pays prefill only for uncached prompt blocks, and its token interval grows with the batch', () => {
    const engine = model({ prefillMsPerBlock: 100 });
    engine.submit(request('cold'), 0);
    assert.equal(engine.nextEventMs(), 310);
    engine.submit(request('warm'), 0);
    assert.equal(engine.nextEventMs(), 15);
    assert.equal(engine.sequence('warm')?.cachedPromptTokens, 3 * 64);
  });

  it('evicts the least recently used blocks (memory is limited)', () => {
    const engine = model({ cacheBlocks: 3, prefillMsPerBlock: 100 });
    engine.submit(request('a'), 0);
    const other = { ...request('b'), messages: [{ role: 'user', content: 'y'.repeat(3 * BLOCK) }] };
    engine.submit(other, 0);
    engine.submit(request('again'), 0);
    assert.equal(engine.sequence('again')?.cachedPromptTokens, 0);
  });

  it('stops an unread stream after its limit, forgets it later, and keeps one that is read', () => {
    const engine = model({ tokenIntervalMs: 5_000, unreadLimitMs: 10_000, keepMs: 60_000 });
    engine.submit(request('unread'), 0);
    engine.submit(request('read'), 0);
    engine.addReader('read');
    engine.advance(10_001);
    assert.equal(engine.sequence('unread')?.state, SequenceState.Cancelled);
    assert.equal(engine.sequence('read')?.state, SequenceState.Running);
    engine.advance(70_001);
    assert.equal(engine.sequence('unread'), undefined);
    assert.notEqual(engine.sequence('read'), undefined);
  });
});
