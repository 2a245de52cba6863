import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Verdict } from '@pimentostall/core';
import { CallOutcome } from '../../auditor/types.ts';
import type { AttemptResult } from '../attempt.ts';
import { AttemptKind } from '../attempt.ts';
import { outcomeOf } from '../caller.ts';
import { idempotencyKeyOf, scopedRequestId } from '../identity.ts';
import { readEventStream, StreamEndKind } from '../readEventStream.ts';

function chunk(content: string): string {
  return `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
}

describe('callers', () => {
  it('treats a stream without [DONE] as broken (a truncated answer must not count as complete)', () => {
    const body = chunk('a ') + chunk('b ');
    assert.deepEqual(readEventStream(body), { kind: StreamEndKind.Broken, text: 'a b ' });
    assert.deepEqual(readEventStream(`${body}data: [DONE]\n\n`), { kind: StreamEndKind.Done, text: 'a b ' });
    assert.deepEqual(readEventStream(`${body}event: error\ndata: {}\n\n`), {
      kind: StreamEndKind.Problem,
      text: 'a b ',
      problem: '{}',
    });
  });

  it('does not report a request as not run after an attempt that may have run', () => {
    const refused = (verdict: Verdict): AttemptResult => ({
      kind: AttemptKind.Refused,
      verdict,
      reason: 'r',
    });
    const broken: AttemptResult = { kind: AttemptKind.Broken, detail: 'reset' };
    const notRun = refused(Verdict.DidNotRun);
    assert.equal(outcomeOf([notRun, notRun]), CallOutcome.RefusedNotRun);
    assert.equal(outcomeOf([broken, notRun]), CallOutcome.RefusedMayHaveRun);
    assert.equal(outcomeOf([refused(Verdict.MayHaveRun), notRun]), CallOutcome.RefusedMayHaveRun);
    assert.equal(outcomeOf([notRun, broken]), CallOutcome.NoAnswer);
    const unreachable: AttemptResult = { kind: AttemptKind.Unreachable, detail: 'refused' };
    assert.equal(outcomeOf([notRun, unreachable]), CallOutcome.RefusedNotRun);
    assert.equal(outcomeOf([broken, unreachable]), CallOutcome.NoAnswer);
    assert.equal(outcomeOf([unreachable]), CallOutcome.NoAnswer);
  });

  it('recovers the idempotency key from a request ID (otherwise every answer would seem unbilled)', () => {
    assert.equal(idempotencyKeyOf(scopedRequestId('an org:x', 'key:1')), 'key:1');
  });
});
