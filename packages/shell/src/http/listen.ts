import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../addresses.ts';

/** Starts listening and returns the bound address; rejects if the address cannot be bound. */
export function listen(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve(`${bound.address}:${bound.port}`);
    });
  });
}

const OPEN_RESPONSE_POLL_MS = 20;

/** Tracks the responses that are not yet fully written. */
export function trackOpenResponses(server: Server): ReadonlySet<ServerResponse> {
  const open = new Set<ServerResponse>();
  server.on('request', (_request, response) => {
    open.add(response);
    response.on('close', () => open.delete(response));
  });
  return open;
}

/**
 * Waits up to `graceMs` for open responses, then closes the server. Node's `close` alone would cut off responses
 * that were ended but are still in the buffer of a slow connection.
 */
export async function closeServer(
  server: Server,
  open: ReadonlySet<ServerResponse>,
  graceMs: number,
): Promise<void> {
  const closeDeadlineMs = performance.now() + graceMs;
  while (open.size > 0 && performance.now() < closeDeadlineMs) {
    await sleep(OPEN_RESPONSE_POLL_MS);
  }
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
