import type { CoreContext } from '../context.ts';
import type { PeerSender, RecordState, UsageRecord } from '../types/messages.ts';

export function handleRecordCopy(_context: CoreContext, _sender: PeerSender, _record: UsageRecord): void {
  // Added with the share ledger.
}

export function handleRecordCopyAck(
  _context: CoreContext,
  _sender: PeerSender,
  _requestId: string,
  _state: RecordState,
): void {
  // Added with the share ledger.
}

export function handleRecordResolved(_context: CoreContext, _requestIds: readonly string[]): void {
  // Added with the share ledger.
}

export function handleRecordQuery(
  _context: CoreContext,
  _sender: PeerSender,
  _queryId: string,
  _requestId: string,
): void {
  // Added with the share ledger.
}

export function handleRecordQueryReply(
  _context: CoreContext,
  _queryId: string,
  _records: readonly UsageRecord[],
  _running: boolean,
): void {
  // Added with the share ledger.
}

export function handleOpenRecordsRequest(
  _context: CoreContext,
  _sender: PeerSender,
  _queryId: string,
  _incarnationId: string,
): void {
  // Added with the share ledger.
}

export function handleOpenRecordsReply(
  _context: CoreContext,
  _queryId: string,
  _records: readonly UsageRecord[],
): void {
  // Added with the share ledger.
}
