import {
  handleConfigurationReply,
  handleConfigurationRequest,
} from './configuration/exchangeConfiguration.ts';
import type { CoreContext } from './context.ts';
import { handleHeartbeat } from './membership/handleHeartbeat.ts';
import {
  handleOpenRecordsReply,
  handleOpenRecordsRequest,
  handleRecordCopy,
  handleRecordCopyAck,
  handleRecordQuery,
  handleRecordQueryReply,
  handleRecordResolved,
} from './money/handleRecordMessages.ts';
import type { PeerMessage, PeerSender } from './types/messages.ts';
import { PeerMessageKind } from './types/messages.ts';

/** Routes a peer message to its handler. Messages may be late, duplicated or out of order. */
export function dispatchPeerMessage(context: CoreContext, sender: PeerSender, message: PeerMessage): void {
  switch (message.kind) {
    case PeerMessageKind.Heartbeat:
      handleHeartbeat(context, sender, message);
      return;
    case PeerMessageKind.RecordCopy:
      handleRecordCopy(context, sender, message.record);
      return;
    case PeerMessageKind.RecordCopyAck:
      handleRecordCopyAck(context, sender, message.requestId, message.state);
      return;
    case PeerMessageKind.RecordResolved:
      handleRecordResolved(context, message.requestIds);
      return;
    case PeerMessageKind.RecordQuery:
      handleRecordQuery(context, sender, message.queryId, message.requestId);
      return;
    case PeerMessageKind.RecordQueryReply:
      handleRecordQueryReply(context, message.queryId, message.records, message.running);
      return;
    case PeerMessageKind.OpenRecordsRequest:
      handleOpenRecordsRequest(context, sender, message.queryId, message.incarnationId);
      return;
    case PeerMessageKind.OpenRecordsReply:
      handleOpenRecordsReply(context, message.queryId, message.records);
      return;
    case PeerMessageKind.ConfigurationRequest:
      handleConfigurationRequest(context, sender, message.knownRevision);
      return;
    case PeerMessageKind.ConfigurationReply:
      handleConfigurationReply(context, message.configuration);
      return;
  }
}
