import type { ServiceDefinition } from '@grpc/grpc-js';

const EMPTY = Buffer.alloc(0);

/**
 * `Deliver` passes encoded envelopes; the adapter decodes them, so that it can reject malformed ones itself.
 */
export const PEER_SERVICE = {
  deliver: {
    path: '/pimentostall.Peer/Deliver',
    requestStream: false,
    responseStream: false,
    requestSerialize: (bytes: Buffer) => bytes,
    requestDeserialize: (bytes: Buffer) => bytes,
    responseSerialize: () => EMPTY,
    responseDeserialize: () => undefined,
  },
} satisfies ServiceDefinition;
