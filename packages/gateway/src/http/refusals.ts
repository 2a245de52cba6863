import type { Duplex } from 'node:stream';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';

/** Why a connection was ended. The values are labels of metrics. */
export enum ConnectionEnd {
  BodyStalled = 'body-stalled',
  ResponseUnread = 'response-unread',
  Memory = 'memory',
  Descriptors = 'descriptors',
  Lingering = 'lingering',
}

/** Statuses of requests that a limit refuses; both say that the request was not executed and never will be. */
export type RefusalStatus = 408 | 503;

const REASON_PHRASES: Readonly<Record<RefusalStatus, string>> = {
  408: 'Request Timeout',
  503: 'Service Unavailable',
};
/** Delay after which a caller may send a refused request again; another router can take it at once. */
const RETRY_AFTER_SECONDS = 1;

export function refusalHeaders(status: RefusalStatus): Record<string, string | number> {
  return {
    Connection: 'close',
    'Content-Length': 0,
    ...(status === 503 && { 'Retry-After': RETRY_AFTER_SECONDS }),
  };
}

/** Answers a connection on which no complete request was read, and ends it. */
export function sendRefusal(socket: Duplex, status: RefusalStatus): void {
  const headers = Object.entries(refusalHeaders(status)).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.end(`HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\n${headers.join('')}\r\n`);
}

export interface EndedConnection {
  readonly serverName: string;
  readonly reason: ConnectionEnd;
  /** Status of the refusal; undefined if the connection was closed without one. */
  readonly status: RefusalStatus | undefined;
  readonly caller: string | undefined;
  /** Requests that were read on the connection. */
  readonly requests: number;
  readonly openResponses: number;
  readonly heldBytes: number;
  readonly idleMs: number;
}

/** Logs and counts a connection that a limit has ended. */
export function reportConnectionEnd(
  { log, metrics, board }: GatewayContext,
  { serverName, reason, status, ...fields }: EndedConnection,
): void {
  const labels = `server="${serverName}",reason="${reason}",status="${status ?? 'none'}"`;
  metrics.count('pimentostall_ended_connections_total', labels);
  log(LogLevel.Info, 'connection ended by a limit', {
    server: serverName,
    reason,
    status,
    ...fields,
    allocatedBytes: board.memory.allocatedBytes,
  });
}
