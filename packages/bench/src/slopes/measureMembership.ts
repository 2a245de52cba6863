import type { Effect, PeerMessage } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import { heartbeatTargets } from '../../../core/src/membership/heartbeatTargets.ts';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import type { RouterHarness } from './routerHarness.ts';
import { createRouterInFleet } from './routerHarness.ts';
import {
  createHeartbeat,
  routerIdentity,
  vmRow,
  regionPeerIndexes,
  peerSender,
  createShareLevels,
} from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { measureCpuMicros, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { ORGANISATIONS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const MICROS_PER_MILLISECOND = 1_000;
/** A multiple of the interval of the digests that are sent between regions. */
const SECONDS = 10;

interface SentMessages {
  readonly messages: number;
  readonly bytes: number;
  readonly digestBytes: number;
}

function measureSentMessages(effects: readonly Effect[]): SentMessages {
  let messages = 0;
  let bytes = 0;
  let digestBytes = 0;
  for (const effect of effects) {
    if (effect.kind !== EffectKind.PeerSend) {
      continue;
    }
    const { length } = encodeEnvelope(peerSender(0), effect.message);
    messages += 1;
    bytes += length;
    digestBytes += isDigest(effect.message) ? length : 0;
  }
  return { messages, bytes, digestBytes };
}

/** In this measurement only the heartbeats between regions have no share levels. */
function isDigest(message: PeerMessage): boolean {
  return message.kind === PeerMessageKind.Heartbeat && message.shareLevels.length === 0;
}

/** Simulates one second in which each peer sends one heartbeat; each is delivered in a separate step. */
function simulateSecond(router: RouterHarness, encodedHeartbeats: readonly Buffer[]): Effect[] {
  for (const encodedHeartbeat of encodedHeartbeats) {
    router.step([{ kind: EventKind.PeerReceived, ...decodeEnvelope(encodedHeartbeat) }]);
  }
  return router.advance(1_000);
}

function addShareRecords(router: RouterHarness): void {
  for (const { organisationId, availableMicros } of createShareLevels(ORGANISATIONS_PER_ROUTER)) {
    router.core.board.money.shares.set(organisationId, {
      organisationId,
      grantedMicros: availableMicros,
      settledMicros: 0,
      returnedMicros: 0,
      sequence: 1,
      committedMicros: 0,
      pendingReturnMicros: 0,
      demandMicrosPerSecond: 0,
      recentMicros: 0,
      worstCaseMicros: Math.floor(availableMicros / 5),
      lastUsedAtMs: 0,
      excessSinceMs: undefined,
    });
  }
}

type Name = 'millisecond' | 'messages' | 'sent' | 'received' | 'digests' | 'list' | 'neighbours' | 'memory';

function measureFleet(routerCount: number): Readonly<Record<Name, number>> {
  const levels = createShareLevels(ORGANISATIONS_PER_ROUTER);
  const peers = regionPeerIndexes(routerCount);
  const encodedHeartbeats = peers.map((index) =>
    encodeEnvelope(peerSender(index), createHeartbeat(index, levels)),
  );
  const { bytes: memory, held: router } = measureRetainedBytes(() =>
    createRouterInFleet(routerCount, ORGANISATIONS_PER_ROUTER),
  );
  addShareRecords(router);
  simulateSecond(router, encodedHeartbeats);
  const sent: SentMessages[] = [];
  const micros = measureCpuMicros(() => {
    for (let second = 0; second < SECONDS; second += 1) {
      sent.push(measureSentMessages(simulateSecond(router, encodedHeartbeats)));
    }
  });
  const sum = (read: (each: SentMessages) => number): number =>
    sent.reduce((total, each) => total + read(each), 0) / SECONDS;
  const ownBytes = encodeEnvelope(peerSender(0), createHeartbeat(0, levels)).length;
  const regionAddresses = peers.map((index) => routerIdentity(index).peerAddress);
  const { peerAddress: ownAddress } = routerIdentity(0);
  const neighbours = heartbeatTargets({ ownAddress, regionAddresses, relayed: true }).length;
  const vmRows = Array.from({ length: Math.round((routerCount * 950) / TARGET.routers) }, (_, index) =>
    vmRow(index),
  );
  return {
    millisecond: micros / MICROS_PER_MILLISECOND / SECONDS,
    messages: sum((each) => each.messages),
    sent: sum((each) => each.bytes),
    received: encodedHeartbeats.reduce((total, encoded) => total + encoded.length, 0),
    digests: sum((each) => each.digestBytes),
    list: Buffer.byteLength(JSON.stringify({ rows: vmRows })),
    neighbours: neighbours * ownBytes,
    memory,
  };
}

/** Cost of heartbeats, membership list and peers of one router, by the number of routers in two regions. */
export function measureMembership(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureFleet);
  const series = (id: string, quantity: string, unit: string, name: Name): Series => ({
    id: `membership.${id}`,
    quantity,
    unit,
    sizeUnit: 'routers',
    targetSize: TARGET.routers,
    points: points(name),
  });
  return [
    series('processor', 'heartbeats in and out and ticks, without transport', 'ms/s', 'millisecond'),
    series('messagesSent', 'heartbeats and digests sent', '1/s', 'messages'),
    series('bytesSent', 'bytes of heartbeats and digests sent', 'B/s', 'sent'),
    series('bytesReceived', 'bytes of heartbeats received', 'B/s', 'received'),
    series('digestBytes', 'bytes sent across the region link', 'B/s', 'digests'),
    series('listBytes', 'membership list with the engines, one read', 'B', 'list'),
    series('neighbourBytes', 'own heartbeat to 8 neighbours (switched off)', 'B/s', 'neighbours'),
    series('memory', 'core with peers and list', 'B', 'memory'),
  ];
}
