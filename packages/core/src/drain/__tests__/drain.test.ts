import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoreDriver, peerSends } from '../../configuration/__tests__/coreDriver.ts';
import type { RunningRequest } from '../../requests/types.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { PeerMessageKind, RecordState, RouterState } from '../../types/messages.ts';

// Guards against a drain that cuts off a request or refuses callers that use a cached entry answer.
test('a draining router announces its state, keeps accepting, waits for requests and exits', () => {
  const driver = new CoreDriver();
  const { board } = driver.core;
  driver.hear(2);
  board.routerState = RouterState.Live;
  // Only the number of running requests matters to the drain.
  board.requests.running.set('o/q', { requestId: 'q', organisationId: 'o' } as RunningRequest);
  const stopEffects = driver.step({ kind: EventKind.StopRequested });
  assert.equal(board.routerState, RouterState.Draining);
  assert.deepEqual(peerSends(stopEffects, PeerMessageKind.Heartbeat), ['10.0.0.2:81']);
  driver.advance(4_750);
  assert.ok(board.acceptsRequests);
  driver.advance(60_000);
  assert.ok(!board.acceptsRequests);
  assert.ok(!driver.effects.some((effect) => effect.kind === EffectKind.Exit));
  board.requests.running.clear();
  const finalEffects = driver.advance(500);
  assert.equal(finalEffects.filter((effect) => effect.kind === EffectKind.Exit).length, 1);
});

// Guards against an exit that cuts off an administration request received while shares are returned.
test('the drain waits for administration requests that arrive while shares are being returned', () => {
  const driver = new CoreDriver();
  const { board } = driver.core;
  board.routerState = RouterState.Live;
  // A copy whose owner is silent prevents the return of shares from completing.
  const record = {
    requestId: 'q',
    organisationId: 'o',
    incarnationId: 'dead',
    state: RecordState.Reserved,
    amountMicros: 1,
    upstreamAddress: undefined,
  };
  board.money.copies.set('k', {
    record,
    receivedAtMs: 0,
    ownerVmId: 'vm',
    ownerPeerAddress: '10.0.0.9:81',
  });
  driver.step({ kind: EventKind.StopRequested });
  driver.advance(10_000);
  board.adminExchanges.add('late');
  board.money.copies.clear();
  driver.advance(5_000);
  assert.ok(!driver.effects.some((effect) => effect.kind === EffectKind.Exit));
  board.adminExchanges.delete('late');
  driver.advance(500);
  assert.ok(driver.effects.some((effect) => effect.kind === EffectKind.Exit));
});
