import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINES, RequestBench } from '../../requests/__tests__/requestBench.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { RouterState } from '../../types/messages.ts';
import { RefusalReason, Verdict } from '../../types/verdict.ts';

const LOAD = { runningCount: 0, queuedCount: 0, leaving: false, ageMs: 0, cachedPrefixHashes: [] };

// Guards against a router that has no reports yet and sends work to a leaving engine.
test('a starting router refuses requests with the verdict did-not-run', () => {
  const bench = new RequestBench(true, 500);
  bench.core.board.routerState = RouterState.Starting;
  const problem = bench.problem(bench.chat());
  assert.deepEqual([problem?.reason, problem?.verdict], [RefusalReason.NotReady, Verdict.DidNotRun]);
  assert.equal(bench.opens.length, 0);
});

// Guards against work for an engine that is leaving but has not reported it yet.
test('an engine without a report gets no work while another engine has one', () => {
  for (const address of ENGINES) {
    const bench = new RequestBench(true, 500);
    bench.send();
    const probe = bench.ofKind(EffectKind.UpstreamProbe).find((effect) => effect.address === address);
    bench.send({ kind: EventKind.UpstreamProbed, callId: probe?.callId ?? '', address, load: LOAD });
    bench.chat();
    assert.equal(bench.open(0).address, address);
  }
});
