import { hash32 } from '../hash.ts';
import type { UsageRecord } from '../types/messages.ts';

/** Bill rows per organisation; several buckets limit the size of a row and the contention on it. */
const BILL_BUCKET_COUNT = 16;
const DAY_MS = 86_400_000;

export const SHARE_PREFIX = 'share/';
export const ROUTER_PREFIX = 'router/';

export const budgetKey = (organisationId: string): string => `budget/${organisationId}`;

export const shareKey = (organisationId: string, incarnationId: string): string =>
  `${SHARE_PREFIX}${organisationId}/${incarnationId}`;

export const routerKey = (incarnationId: string): string => `${ROUTER_PREFIX}${incarnationId}`;

export const billPrefix = (organisationId: string): string => `bill/${organisationId}/`;

export const billKey = (organisationId: string, requestId: string): string =>
  `${billPrefix(organisationId)}${hash32(requestId) % BILL_BUCKET_COUNT}`;

export const auditKey = (wallMs: number, id: string): string => `audit/${Math.floor(wallMs / DAY_MS)}/${id}`;

type RecordIdentity = Pick<UsageRecord, 'incarnationId' | 'organisationId' | 'requestId'>;

/**
 * Identifies a record across routers. The request identity alone is ambiguous: callers choose it, so two
 * organisations may use the same one, and a retry may use it under another incarnation.
 */
export const recordKey = (record: RecordIdentity): string =>
  `${record.incarnationId}/${record.organisationId}/${record.requestId}`;
