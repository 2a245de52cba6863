import type { CoreContext } from '../context.ts';
import { shareLevels } from '../money/shareLevels.ts';
import { EffectKind } from '../types/effects.ts';
import type { ShareLevel } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import type { HeartbeatMessage } from './handleHeartbeat.ts';
import { digestTargets, heartbeatTargets } from './heartbeatTargets.ts';
import { routerAddresses } from './routerAddresses.ts';

/** Relaying is not implemented, so every router of the region must be reached directly. */
const RELAYED_DIGESTS = false;

/** Sends a heartbeat to the routers of the local region. */
export function sendRegionHeartbeats(context: CoreContext): void {
  const { sameRegion } = routerAddresses(context);
  const targets = heartbeatTargets({
    ownAddress: context.board.identity.peerAddress,
    regionAddresses: sameRegion,
    relayed: RELAYED_DIGESTS,
  });
  sendHeartbeats(context, targets, shareLevels(context));
}

/** Sends digests: heartbeats without share levels, since the region link is narrow and billed by volume. */
export function sendCrossRegionDigests(context: CoreContext, round: number): void {
  const { otherRegions } = routerAddresses(context);
  sendHeartbeats(context, digestTargets(context.board.identity.peerAddress, otherRegions, round), []);
}

function sendHeartbeats(
  context: CoreContext,
  addresses: readonly string[],
  levels: readonly ShareLevel[],
): void {
  const message = createHeartbeat(context, levels);
  for (const peerAddress of addresses) {
    context.emit({ kind: EffectKind.PeerSend, peerAddress, message });
  }
}

function createHeartbeat(context: CoreContext, levels: readonly ShareLevel[]): HeartbeatMessage {
  const { board } = context;
  return {
    kind: PeerMessageKind.Heartbeat,
    state: board.routerState,
    callerAddress: board.identity.callerAddress,
    configurationRevision: board.configuration?.revision ?? 0,
    openRequestCount: board.requests.running.size,
    shareLevels: levels,
  };
}
