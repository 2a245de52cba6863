import assert from 'node:assert/strict';
import { REQUEST_HEAD } from '../../requests/__tests__/requestRig.ts';
import type { WireCodec } from '../wireCodec.ts';

/** Codec for tests of the server for callers, without an upstream behind it. */
export const testCodec: WireCodec = {
  decodeRequest: (message) => ({
    ...REQUEST_HEAD,
    method: message.method ?? '',
    target: message.url ?? '',
  }),
  encodeUpstreamRequest: () => [],
  decodeUpstreamHead: () => assert.fail('not used'),
  encodeLocalReply: ({ status, reason }) => ({ status, headers: [], body: reason }),
};
