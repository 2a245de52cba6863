import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoreDriver, peerSends } from '../../configuration/__tests__/coreDriver.ts';
import type { RunningRequest } from '../../requests/types.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { PeerMessageKind, RouterState } from '../../types/messages.ts';

// Guards against a drain that cuts off a request, or refuses callers that still hold an entry answer.
test('the drain announces itself, keeps accepting, waits for requests and exits', () => {
  const driver = new CoreDriver();
  const { board } = driver.core;
  driver.hear(2);
  board.routerState = RouterState.Live;
  // Only the number of running requests matters to the drain.
  board.requests.running.set('o/q', { requestId: 'q', organisationId: 'o' } as RunningRequest);
  const atOnce = driver.step({ kind: EventKind.StopRequested });
  assert.equal(board.routerState, RouterState.Draining);
  assert.deepEqual(peerSends(atOnce, PeerMessageKind.Heartbeat), ['10.0.0.2:81']);
  driver.advance(4_750);
  assert.ok(board.acceptsRequests);
  driver.advance(60_000);
  assert.ok(!board.acceptsRequests);
  assert.ok(!driver.effects.some((effect) => effect.kind === EffectKind.Exit));
  board.requests.running.clear();
  const last = driver.advance(500);
  assert.equal(last.filter((effect) => effect.kind === EffectKind.Exit).length, 1);
});
