import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINES, RequestBench } from '../../requests/__tests__/requestBench.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';

const LOAD = { runningCount: 0, queuedCount: 0, leaving: false, ageMs: 0, cachedPrefixHashes: [] };

function startedBench(): RequestBench {
  const bench = new RequestBench(true, 500);
  const { routing } = bench.core.board;
  routing.surveyUntilMs = bench.nowMs + 1_000;
  bench.send();
  return bench;
}

test('a new router sends work only to engines that have reported (work for a leaving engine)', () => {
  const bench = startedBench();
  bench.chat();
  assert.equal(bench.opens.length, 0);
  const [, address = ''] = ENGINES;
  const { callId = '' } =
    bench.ofKind(EffectKind.UpstreamProbe).findLast((effect) => effect.address === address) ?? {};
  bench.send({ kind: EventKind.UpstreamProbed, callId, address, load: LOAD });
  assert.equal(bench.open(0).address, address);
});

test('a new router whose probes stay unanswered serves after two intervals (a request that waits for ever)', () => {
  const bench = startedBench();
  bench.chat();
  bench.advance(750);
  assert.equal(bench.opens.length, 0);
  bench.advance(750);
  assert.equal(bench.opens.length, 1);
});
