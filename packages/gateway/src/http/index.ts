export { CallerServer } from './callerServer.ts';
export { createPeerServer, PeerConnections } from './peerLoans.ts';
export type { UpstreamConnectionOptions } from './upstreamConnections.ts';
export { UpstreamConnections } from './upstreamConnections.ts';
export type { EncodedAnswer, WireCodec } from './wireCodec.ts';
