import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { PeerInfo } from '../membership/types.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { activateConfiguration, processedRevision } from './activateConfiguration.ts';
import { isPoller } from './choosePollers.ts';
import { readConfigurationSnapshot, readRevision } from './readStoredConfiguration.ts';

/** Interval at which the revisions in peer heartbeats are compared with this router's revision. */
const CHECK_INTERVAL_MS = 500;
/** Unanswered requests to peers after which an outdated router reads the table itself. */
const MAX_PEER_REQUESTS = 2;

/** Keeps the active configuration up to date from peers and the table. */
export function* configurationController(context: CoreContext): Task<void> {
  let nextPollAtMs = context.clock.monotonicMs;
  let peerRequestCount = 0;
  for (;;) {
    const nowMs = context.clock.monotonicMs;
    const newerPeer = chooseNewerPeer(context);
    if (newerPeer === undefined) {
      peerRequestCount = 0;
    } else if (peerRequestCount < MAX_PEER_REQUESTS) {
      peerRequestCount += 1;
      requestConfiguration(context, newerPeer);
    }
    const peersUnresponsive = newerPeer !== undefined && peerRequestCount >= MAX_PEER_REQUESTS;
    if (nowMs >= nextPollAtMs && (newerPeer === undefined ? shouldPoll(context) : peersUnresponsive)) {
      nextPollAtMs = nowMs + context.options.configurationPollIntervalMs;
      yield* refreshFromTable(context);
      peerRequestCount = 0;
    }
    yield* sleepUntil(Math.max(nowMs + CHECK_INTERVAL_MS, context.clock.monotonicMs));
  }
}

/** A router without a configuration may not know any peers yet, so it polls the table even if it is no poller. */
function shouldPoll(context: CoreContext): boolean {
  return context.board.configuration === undefined || isPoller(context);
}

/**
 * Chooses a random peer with a newer revision, so that a new revision does not overload one router. Only pollers
 * query other regions, because the link between regions is narrow. The other routers fetch the revision from the
 * pollers of their region.
 */
function chooseNewerPeer(context: CoreContext): PeerInfo | undefined {
  const regionPeers = liveRegionPeers(context).filter((peer) => hasNewerRevision(context, peer));
  if (regionPeers.length > 0 || !isPoller(context)) {
    return regionPeers[Math.floor(context.random() * regionPeers.length)];
  }
  const { identity, membership } = context.board;
  const remotePeers = [...membership.peers.values()].filter(
    (peer) => peer.sender.region !== identity.region && hasNewerRevision(context, peer),
  );
  return remotePeers[Math.floor(context.random() * remotePeers.length)];
}

function hasNewerRevision(context: CoreContext, peer: PeerInfo): boolean {
  return peer.configurationRevision > processedRevision(context);
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

function* refreshFromTable(context: CoreContext): Task<void> {
  const revision = yield* readRevision(context);
  if (revision === undefined || revision <= processedRevision(context)) {
    return;
  }
  const snapshot = yield* readConfigurationSnapshot(context);
  if (snapshot !== undefined) {
    activateConfiguration(context, snapshot.stored);
  }
}
