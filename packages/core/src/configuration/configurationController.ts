import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { PeerInfo } from '../membership/types.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { settledRevision, takeConfiguration } from './activateConfiguration.ts';
import { isPoller } from './choosePollers.ts';
import { readConfigurationSnapshot, readRevision } from './readStoredConfiguration.ts';

/** Heartbeats are compared with the own revision this often. */
const CHECK_INTERVAL_MS = 500;
/** Unanswered requests to peers before a router that is behind reads the table itself. */
const MAX_PEER_REQUESTS = 2;

/** Keeps the configuration in force up to date from peers and the table. */
export function* configurationController(context: CoreContext): Task<void> {
  let nextPollAtMs = context.clock.monotonicMs;
  let peerRequests = 0;
  for (;;) {
    const nowMs = context.clock.monotonicMs;
    const source = choosePeerAhead(context);
    if (source === undefined) {
      peerRequests = 0;
    } else if (peerRequests < MAX_PEER_REQUESTS) {
      peerRequests += 1;
      requestConfiguration(context, source);
    }
    const peersFailed = source !== undefined && peerRequests >= MAX_PEER_REQUESTS;
    if (nowMs >= nextPollAtMs && (source === undefined ? mustPoll(context) : peersFailed)) {
      nextPollAtMs = nowMs + context.options.configurationPollIntervalMs;
      yield* readTable(context);
      peerRequests = 0;
    }
    yield* sleepUntil(Math.max(nowMs + CHECK_INTERVAL_MS, context.clock.monotonicMs));
  }
}

/** A router without any configuration may know no peer yet, so it reads the table by itself. */
function mustPoll(context: CoreContext): boolean {
  return context.board.configuration === undefined || isPoller(context);
}

/**
 * A random peer with a higher revision, so that a new revision does not load one router. Only pollers ask the
 * other region: the link is narrow, and the pollers' region peers get the revision from them.
 */
function choosePeerAhead(context: CoreContext): PeerInfo | undefined {
  const near = liveRegionPeers(context).filter((peer) => isAhead(context, peer));
  if (near.length > 0 || !isPoller(context)) {
    return near[Math.floor(context.random() * near.length)];
  }
  const { identity, membership } = context.board;
  const far = [...membership.peers.values()].filter(
    (peer) => peer.sender.region !== identity.region && isAhead(context, peer),
  );
  return far[Math.floor(context.random() * far.length)];
}

function isAhead(context: CoreContext, peer: PeerInfo): boolean {
  return peer.configurationRevision > settledRevision(context);
}

function requestConfiguration(context: CoreContext, peer: PeerInfo): void {
  context.emit({
    kind: EffectKind.PeerSend,
    peerAddress: peer.sender.peerAddress,
    message: {
      kind: PeerMessageKind.ConfigurationRequest,
      knownRevision: context.board.configuration?.revision ?? 0,
    },
  });
}

function* readTable(context: CoreContext): Task<void> {
  const revision = yield* readRevision(context);
  if (revision === undefined || revision <= settledRevision(context)) {
    return;
  }
  const snapshot = yield* readConfigurationSnapshot(context);
  if (snapshot !== undefined) {
    takeConfiguration(context, snapshot.stored);
  }
}
