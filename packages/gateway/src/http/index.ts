export { CallerServer } from './callerServer.ts';
export { PeerDocuments } from './peerDocuments.ts';
export { PeerConnections } from './peerLoans.ts';
export { createPeerServer } from './peerServer.ts';
export type { ProgressTimeoutOptions } from './progressTimeout.ts';
export { ProgressTimeout, readBody } from './progressTimeout.ts';
export type { UpstreamConnectionOptions } from './upstreamConnections.ts';
export { UpstreamConnections } from './upstreamConnections.ts';
export type { EncodedReply, WireCodec } from './wireCodec.ts';
