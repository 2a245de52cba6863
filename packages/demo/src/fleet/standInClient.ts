import type { RowWrite, TableRow } from '@pimentostall/core';
import type { EngineAuditEntry, TableOperationCounts } from '@pimentostall/standins';
import { request } from 'undici';

const CALL_TIMEOUT_MS = 3_000;

async function sendRequest(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const response = await request(`http://${address}${path}`, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new Error(`${method} ${address}${path} failed with status ${response.statusCode}: ${text}`);
  }
  return JSON.parse(text);
}

export async function control(address: string, body: unknown): Promise<void> {
  await sendRequest(address, 'POST', '/control', body);
}

export async function writeRows(platformAddress: string, writes: readonly RowWrite[]): Promise<void> {
  await sendRequest(platformAddress, 'POST', '/table/commit', { checks: [], writes });
}

export async function scanRows(platformAddress: string, keyPrefix: string): Promise<readonly TableRow[]> {
  const answer = (await sendRequest(platformAddress, 'POST', '/table/scan', { keyPrefix })) as {
    rows: TableRow[];
  };
  return answer.rows;
}

export async function readPlatformAudit(platformAddress: string): Promise<TableOperationCounts> {
  return (await sendRequest(platformAddress, 'GET', '/audit')) as TableOperationCounts;
}

export async function readEngineAudit(address: string): Promise<Record<string, EngineAuditEntry>> {
  const answer = await sendRequest(address, 'GET', '/audit');
  return (answer as { requests: Record<string, EngineAuditEntry> }).requests;
}

export async function readServiceAudit(address: string): Promise<Record<string, number>> {
  const answer = await sendRequest(address, 'GET', '/audit');
  return (answer as { executions: Record<string, number> }).executions;
}

/** Retries an operation until it succeeds; returns false if it has not succeeded at the deadline. */
export async function retryUntilDeadline(
  deadlineMs: number,
  attempt: () => Promise<unknown>,
): Promise<boolean> {
  while (Date.now() < deadlineMs) {
    try {
      await attempt();
      return true;
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }
  return false;
}

export async function waitForStandIn(address: string, deadlineMs: number): Promise<boolean> {
  return retryUntilDeadline(deadlineMs, () => sendRequest(address, 'GET', '/audit'));
}
