import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
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

/** Closes the listening socket and every connection. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
