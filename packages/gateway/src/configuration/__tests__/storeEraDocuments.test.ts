import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { GatewayContext } from '../../context.ts';
import { toPosition } from '../../storeEra/storePosition.ts';
import { configurationRelays } from '../configurationRelays.ts';
import { ConfigurationFollower } from '../configurationFollower.ts';
import { recordReading } from '../documentState.ts';
import type { DocumentReading } from '../types.ts';
import { SimulatedRouters } from './simulatedRouters.ts';

const LARGE_FLEET = 30;

function position(era: number, version: number): number {
  return toPosition(era, version) ?? 0;
}

/** The context of a router whose follower the test starts itself. */
function createFleet(routerCount: number): { fleet: SimulatedRouters; context: GatewayContext } {
  const fleet = new SimulatedRouters(routerCount, seededRandom(1));
  fleet.startAll();
  const context = fleet.routers[0]?.context;
  assert.ok(context !== undefined);
  return { fleet, context };
}

function reading(era: number, version: number, text: string): DocumentReading {
  const seenVersion = position(era, version);
  return { document: { version: seenVersion, text }, seenVersion, silentMs: 0 };
}

test('a relay goes on passing the document in force when the store returns with an older one', async () => {
  // Guards against a router that starts in the gap and serves by a document that the operator had replaced.
  const { fleet, context } = createFleet(1);
  const replies = [reading(1, 90, 'version 5'), reading(2, 40, 'version 3')];
  const follower = new ConfigurationFollower(context, {
    store: {
      read: () => Promise.resolve(ok(replies.shift() ?? { ...reading(2, 41, ''), document: undefined })),
    },
    relays: { poll: () => Promise.resolve(err('no relays')) },
    onDocument: ({ text }) => text !== 'version 3',
  });
  context.loop.spawn('follower', follower.run());
  await fleet.advance(2_000);
  assert.deepEqual(context.board.configurationDocument.document, {
    version: position(2, 40),
    text: 'version 5',
  });
  assert.equal(context.board.configurationDocument.seenVersion, position(2, 41));
});

test('a relay that has not heard of the return of the store does not hold back its followers', async () => {
  // Guards against a follower that takes the reply of an earlier era for the news that nothing has changed.
  const { fleet, context } = createFleet(1);
  const { board, self } = context;
  const beat = (): void => {
    for (let index = 1; index <= LARGE_FLEET; index += 1) {
      const entry = { ...self, routerId: `relay-${index}`, incarnationId: `relay-${index}` };
      board.routers.set(entry.routerId, { entry, changedAtMs: context.loop.nowMs() });
    }
  };
  beat();
  assert.ok(configurationRelays(context).every(({ routerId }) => routerId !== self.routerId));
  recordReading(context, reading(2, 7, 'version 5'));
  const lateReply = { ...reading(1, 95, ''), document: undefined };
  const received: string[] = [];
  const follower = new ConfigurationFollower(context, {
    store: { read: () => Promise.resolve(ok(reading(2, 9, 'version 8'))) },
    relays: { poll: () => Promise.resolve(ok(lateReply)) },
    onDocument: ({ text }) => {
      received.push(text);
      return true;
    },
  });
  context.loop.spawn('follower', follower.run());
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 500) {
    await fleet.advance(500);
    beat();
  }
  assert.deepEqual(received, ['version 8']);
});
