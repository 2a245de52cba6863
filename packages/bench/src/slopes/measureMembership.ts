import type { Effect, PeerMessage } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import { heartbeatTargets } from '../../../core/src/membership/heartbeatTargets.ts';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import type { DrivenRouter } from './drivenRouter.ts';
import { routerInFleet } from './drivenRouter.ts';
import { heartbeatOf, identityOf, memberOf, nearPeers, senderOf, shareLevelsOf } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { processorMicros, retainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { ORGANISATIONS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const MICROS_PER_MILLISECOND = 1_000;
/** A multiple of the interval of the digests across the region link. */
const SECONDS = 10;

interface Sent {
  readonly messages: number;
  readonly bytes: number;
  readonly digestBytes: number;
}

function encodeSent(effects: readonly Effect[]): Sent {
  let messages = 0;
  let bytes = 0;
  let digestBytes = 0;
  for (const effect of effects) {
    if (effect.kind !== EffectKind.PeerSend) {
      continue;
    }
    const { length } = encodeEnvelope(senderOf(0), effect.message);
    messages += 1;
    bytes += length;
    digestBytes += isDigest(effect.message) ? length : 0;
  }
  return { messages, bytes, digestBytes };
}

/** Only heartbeats across the region link carry no share levels here. */
function isDigest(message: PeerMessage): boolean {
  return message.kind === PeerMessageKind.Heartbeat && message.shareLevels.length === 0;
}

/** Lets the router hear every peer once a second, each heartbeat in a step of its own. */
function liveSecond(router: DrivenRouter, wires: readonly Buffer[]): Effect[] {
  for (const wire of wires) {
    router.step([{ kind: EventKind.PeerReceived, ...decodeEnvelope(wire) }]);
  }
  return router.advance(1_000);
}

function fillShares(router: DrivenRouter): void {
  for (const { organisationId, availableMicros } of shareLevelsOf(ORGANISATIONS_PER_ROUTER)) {
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
  const levels = shareLevelsOf(ORGANISATIONS_PER_ROUTER);
  const peers = nearPeers(routerCount);
  const wires = peers.map((index) => encodeEnvelope(senderOf(index), heartbeatOf(index, levels)));
  const { bytes: memory, held: router } = retainedBytes(() =>
    routerInFleet(routerCount, ORGANISATIONS_PER_ROUTER),
  );
  fillShares(router);
  liveSecond(router, wires);
  const sent: Sent[] = [];
  const micros = processorMicros(() => {
    for (let second = 0; second < SECONDS; second += 1) {
      sent.push(encodeSent(liveSecond(router, wires)));
    }
  });
  const sum = (read: (each: Sent) => number): number =>
    sent.reduce((total, each) => total + read(each), 0) / SECONDS;
  const ownBytes = encodeEnvelope(senderOf(0), heartbeatOf(0, levels)).length;
  const regionAddresses = peers.map((index) => identityOf(index).peerAddress);
  const { peerAddress: ownAddress } = identityOf(0);
  const neighbours = heartbeatTargets({ ownAddress, regionAddresses, relayed: true }).length;
  const listed = Array.from({ length: Math.round((routerCount * 950) / TARGET.routers) }, (_, index) =>
    memberOf(index),
  );
  return {
    millisecond: micros / MICROS_PER_MILLISECOND / SECONDS,
    messages: sum((each) => each.messages),
    sent: sum((each) => each.bytes),
    received: wires.reduce((total, wire) => total + wire.length, 0),
    digests: sum((each) => each.digestBytes),
    list: Buffer.byteLength(JSON.stringify({ rows: listed })),
    neighbours: neighbours * ownBytes,
    memory,
  };
}

/** Heartbeats, list and peers of one router, by the routers of a fleet in two regions. */
export function measureMembership(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureFleet);
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
