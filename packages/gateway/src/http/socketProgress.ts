import type { Socket } from 'node:net';

/** The part of libuv's handle that tells how much of a write the system has taken; `net` uses it for its own timeout. */
interface WriteHandle {
  readonly bytesWritten?: number;
  readonly writeQueueSize?: number;
}

/** Returns the number of bytes that the system has taken for a connection, also of a write that is not complete. */
export function acceptedBytes(socket: Socket): number {
  const { _handle: handle } = socket as unknown as { readonly _handle?: WriteHandle | null };
  return handle?.bytesWritten === undefined
    ? socket.bytesWritten - socket.writableLength
    : handle.bytesWritten - (handle.writeQueueSize ?? 0);
}
