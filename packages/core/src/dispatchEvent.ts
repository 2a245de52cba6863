import { handleAdminRequest } from './configuration/handleAdminRequest.ts';
import type { CoreContext } from './context.ts';
import { dispatchPeerMessage } from './dispatchPeerMessage.ts';
import { handleCallerRequest } from './requests/handleCallerRequest.ts';
import type { CoreEvent } from './types/events.ts';
import { EventKind } from './types/events.ts';

/** Delivers an event to the task that waits for it, or starts a task to handle it. */
export function dispatchEvent(context: CoreContext, event: CoreEvent): void {
  const { replyChannels } = context.board;
  switch (event.kind) {
    case EventKind.TableReply:
      replyChannels.tableCalls.get(event.callId)?.push(event);
      return;
    case EventKind.MembershipReply:
      replyChannels.membershipCalls.get(event.callId)?.push(event);
      return;
    case EventKind.UpstreamProbed:
      replyChannels.probes.get(event.callId)?.push(event);
      return;
    case EventKind.EngineOrdered:
      replyChannels.engineOrders.get(event.callId)?.push(event);
      return;
    case EventKind.EngineModels:
      replyChannels.engineModels.get(event.callId)?.push(event);
      return;
    case EventKind.UpstreamStarted:
    case EventKind.UpstreamChunk:
    case EventKind.UpstreamEnded:
    case EventKind.UpstreamFailed:
      // An abandoned attempt has no channel, so its late events are dropped.
      replyChannels.attempts.get(event.attemptId)?.push(event);
      return;
    case EventKind.CallerGone:
      replyChannels.exchanges.get(event.exchangeId)?.push(event);
      return;
    case EventKind.CallerArrived:
      context.spawn('request', handleCallerRequest(context, event));
      return;
    case EventKind.PeerReceived:
      dispatchPeerMessage(context, event.sender, event.message);
      return;
    case EventKind.AdminArrived:
      context.spawn('admin', handleAdminRequest(context, event.exchangeId, event.request));
      return;
    case EventKind.StopRequested:
      context.board.stopRequested = true;
      context.board.stopSignal.push(undefined);
      return;
    case EventKind.Tick:
      return;
  }
}
