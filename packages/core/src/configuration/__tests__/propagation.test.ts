import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EffectKind, LogLevel } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { PeerMessageKind, RouterState } from '../../types/messages.ts';
import { encodeSection } from '../storedRows.ts';
import { configurationAt, CoreDriver, peerSends } from './coreDriver.ts';
import type { TableFake } from './tableFake.ts';

function store(table: TableFake, revision: number, text = '[]'): void {
  for (const section of configurationAt(revision, text).sections) {
    table.put(`config/section/${section.name}`, encodeSection(section));
  }
  table.put('config/revision', { revision });
}

function revisionOf(driver: CoreDriver): number | undefined {
  return driver.core.board.configuration?.revision;
}

const reply = (revision: number, text?: string) =>
  ({
    kind: PeerMessageKind.ConfigurationReply,
    configuration: configurationAt(revision, text),
  }) as const;

// Guards against a delayed peer reply or an outdated table read that reverts an accepted change.
test('a router never activates a lower revision', () => {
  const driver = new CoreDriver();
  driver.receive(2, reply(5));
  driver.receive(3, reply(4));
  store(driver.table, 3);
  driver.advance(5_000);
  assert.equal(revisionOf(driver), 5);
});

// Guards against a restarted router that refuses all requests although its peers have the configuration.
test('a router restarted while the store is down activates the highest revision of its peers', () => {
  const driver = new CoreDriver();
  driver.table.down = true;
  driver.advance(1_000);
  const asked = [
    ...driver.hear(2, RouterState.Live, 7),
    ...driver.hear(3, RouterState.Live, 9),
    ...driver.advance(1_000),
  ];
  assert.ok(peerSends(asked, PeerMessageKind.ConfigurationRequest).length > 0);
  driver.receive(3, reply(9));
  driver.receive(2, reply(7));
  assert.equal(revisionOf(driver), 9);
});

// Guards against mixing the sections of one revision with the number of another.
test('sections that were read during a revision change are read again', () => {
  const driver = new CoreDriver();
  store(driver.table, 1, 'old');
  driver.table.afterScan = () => {
    store(driver.table, 2, 'new');
  };
  driver.advance(1_000);
  const stored = driver.core.board.configuration?.stored;
  assert.equal(stored?.revision, 2);
  assert.equal(stored.sections[0]?.text, 'new');
});

// Guards against an outage caused by a revision that this version of the router cannot parse.
test('an unparsable revision keeps the active one and is logged once', () => {
  const driver = new CoreDriver();
  driver.receive(2, reply(1));
  store(driver.table, 2, 'broken');
  driver.advance(10_000);
  assert.equal(revisionOf(driver), 1);
  const errors = driver.effects.filter(
    (effect) => effect.kind === EffectKind.Log && effect.level === LogLevel.Error,
  );
  assert.equal(errors.length, 1);
  store(driver.table, 3);
  driver.advance(3_000);
  assert.equal(revisionOf(driver), 3);
});

// Guards against accepting requests before the router row exists, without which no peer could fence the router.
test('a router becomes Live only with a configuration and its router row', () => {
  const driver = new CoreDriver();
  driver.acceptsRouterRow = false;
  driver.receive(2, reply(1));
  driver.advance(2_000);
  assert.equal(driver.core.board.routerState, RouterState.Starting);
  driver.acceptsRouterRow = true;
  driver.advance(4_000);
  assert.equal(driver.core.board.routerState, RouterState.Live);
});

const ENGINE = {
  engineId: 'e',
  address: '10.0.0.9:84',
  region: 'near',
  availabilityZone: 'near-a',
  models: ['m'],
  maxConcurrent: 1,
  honoursFencing: true,
};

// Guards against dispatching to engines that are shutting down, and against waiting forever for a dead engine.
test('a router becomes Live once its engines have sent load reports, or after a bounded wait without them', () => {
  const driver = new CoreDriver({ engines: [ENGINE] });
  const seen = driver.receive(2, reply(1));
  driver.advance(1_000);
  assert.equal(driver.core.board.routerState, RouterState.Starting);
  const probe = [...seen, ...driver.effects].findLast((effect) => effect.kind === EffectKind.UpstreamProbe);
  assert.ok(probe?.kind === EffectKind.UpstreamProbe);
  const load = { runningCount: 0, queuedCount: 0, leaving: false, ageMs: 0, cachedPrefixHashes: [] };
  driver.step({ kind: EventKind.UpstreamProbed, callId: probe.callId, address: ENGINE.address, load });
  driver.advance(500);
  assert.equal(driver.core.board.routerState, RouterState.Live);
  const driverWithoutReport = new CoreDriver({ engines: [ENGINE] });
  driverWithoutReport.receive(2, reply(1));
  driverWithoutReport.advance(4_000);
  assert.equal(driverWithoutReport.core.board.routerState, RouterState.Live);
});

// Guards against a store read rate that grows with the number of routers.
test('only two routers of a region poll the revision', () => {
  const numbers = [1, 2, 3, 4, 5, 6];
  const pollers = numbers.filter((number) => {
    const driver = new CoreDriver({ number });
    driver.receive(9, reply(1));
    for (const other of numbers.filter((candidate) => candidate !== number)) {
      driver.hear(other, RouterState.Live, 1);
    }
    // The router also reads its own row, so only reads of the revision are counted.
    const effects = driver.advance(2_500);
    return effects.some(
      (effect) => effect.kind === EffectKind.TableRead && effect.keys.includes('config/revision'),
    );
  });
  assert.equal(pollers.length, 2);
});
