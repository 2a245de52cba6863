import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { PeerMessage, PeerSender, UsageRecord } from '@pimentostall/core';
import { EventKind, PeerMessageKind, RecordState, RouterState, SectionName } from '@pimentostall/core';
import fc from 'fast-check';
import { pino } from 'pino';
import { unusedAddress, RecordingSink } from '../../__tests__/fakes.ts';
import { DEFAULT_SHELL_OPTIONS } from '../../options.ts';
import { decodeEnvelope } from '../decodeEnvelope.ts';
import { encodeEnvelope } from '../encodeEnvelope.ts';
import { PeerAdapter } from '../peerAdapter.ts';

const SENDER: PeerSender = {
  routerId: 'r',
  vmId: 'v',
  incarnationId: 'i',
  region: 'nairobi',
  availabilityZone: 'a',
  peerAddress: '127.0.0.1:1',
};
const RECORD: UsageRecord = {
  requestId: 'q',
  organisationId: 'o',
  incarnationId: 'i',
  state: RecordState.Reserved,
  amountMicros: Number.MAX_SAFE_INTEGER,
  upstreamAddress: undefined,
};
const USED: UsageRecord = {
  ...RECORD,
  state: RecordState.Used,
  amountMicros: 0,
  upstreamAddress: '127.0.0.1:2',
};
const records = [RECORD, USED];
const sections = Object.values(SectionName).map((name) => ({
  name,
  version: 1,
  text: '- ñ\n',
  changedBy: 'op',
  changedAtMs: 1_764_800_000_000,
  changeId: 'c',
}));

/** One example of each kind; the type makes a missing kind a compile error. */
const EXAMPLES: { readonly [K in PeerMessageKind]: Extract<PeerMessage, { readonly kind: K }> } = {
  [PeerMessageKind.Heartbeat]: {
    kind: PeerMessageKind.Heartbeat,
    state: RouterState.Draining,
    callerAddress: '127.0.0.1:3',
    configurationRevision: 7,
    openRequestCount: 0,
    shareLevels: [{ organisationId: 'o', availableMicros: -5 }],
  },
  [PeerMessageKind.RecordCopy]: { kind: PeerMessageKind.RecordCopy, record: RECORD },
  [PeerMessageKind.RecordCopyAck]: {
    kind: PeerMessageKind.RecordCopyAck,
    requestId: 'q',
    state: RecordState.Used,
  },
  [PeerMessageKind.RecordResolved]: { kind: PeerMessageKind.RecordResolved, requestIds: ['q', 's'] },
  [PeerMessageKind.RecordQuery]: { kind: PeerMessageKind.RecordQuery, queryId: 'x', requestId: 'q' },
  [PeerMessageKind.RecordQueryReply]: {
    kind: PeerMessageKind.RecordQueryReply,
    queryId: 'x',
    records,
    running: true,
  },
  [PeerMessageKind.OpenRecordsRequest]: {
    kind: PeerMessageKind.OpenRecordsRequest,
    queryId: 'x',
    incarnationId: 'i',
  },
  [PeerMessageKind.OpenRecordsReply]: { kind: PeerMessageKind.OpenRecordsReply, queryId: 'x', records },
  [PeerMessageKind.ConfigurationRequest]: { kind: PeerMessageKind.ConfigurationRequest, knownRevision: 0 },
  [PeerMessageKind.ConfigurationReply]: {
    kind: PeerMessageKind.ConfigurationReply,
    configuration: { revision: 9, sections },
  },
};

function createAdapter(context: TestContext) {
  const sink = new RecordingSink();
  const logger = pino({ level: 'silent' });
  const resolveAddress = (address: string): string => address;
  const setup = { sink, logger, resolveAddress, options: DEFAULT_SHELL_OPTIONS, sender: () => SENDER };
  const adapter = new PeerAdapter(setup);
  context.after(() => adapter.close());
  return { sink, adapter };
}

for (const message of Object.values(EXAMPLES)) {
  // Guards against fields that are lost between routers.
  test(`a ${message.kind} message survives an encoding round trip`, () => {
    assert.deepEqual(decodeEnvelope(encodeEnvelope(SENDER, message)), { sender: SENDER, message });
  });
}

// Guards against a peer that crashes the router.
test('arbitrary bytes are decoded or rejected with an error', () => {
  const isRefused = (bytes: Uint8Array): boolean => {
    try {
      decodeEnvelope(bytes);
      return false;
    } catch (cause) {
      return cause instanceof Error;
    }
  };
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      assert.equal(isRefused(bytes), true);
    }),
    { seed: 2 },
  );
});

test('a message is delivered over gRPC, also after one to an unreachable peer', async (context) => {
  const receiver = createAdapter(context);
  const sender = createAdapter(context);
  const address = await receiver.adapter.listen('127.0.0.1:0');
  sender.adapter.send(await unusedAddress(), EXAMPLES.heartbeat);
  sender.adapter.send(address, EXAMPLES.recordCopy);
  const received = await receiver.sink.next(EventKind.PeerReceived);
  assert.deepEqual(received.message, EXAMPLES.recordCopy);
  assert.deepEqual(received.sender, SENDER);
});
