import type { IncomingMessage } from 'node:http';
import type { LocalReply, RequestHead, UpstreamResponseHead, UpstreamRequest } from '../requests/ports.ts';
import type { UpstreamEntry } from '../types.ts';

export interface EncodedReply {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: string;
}

/** Converts between the HTTP dialects of callers and upstreams and the types of the gateway. */
export interface WireCodec {
  decodeRequest(message: IncomingMessage): RequestHead;
  /** Returns the headers of a request to an upstream, as alternating names and values. */
  encodeUpstreamRequest(upstream: UpstreamEntry, request: UpstreamRequest): string[];
  decodeUpstreamHead(
    request: UpstreamRequest,
    status: number,
    rawHeaders: readonly string[],
  ): UpstreamResponseHead;
  encodeLocalReply(reply: LocalReply): EncodedReply;
}
