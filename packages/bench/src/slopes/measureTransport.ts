import { setTimeout as sleep } from 'node:timers/promises';
import type { CoreEvent } from '@pimentostall/core';
import { pino } from 'pino';
import { DEFAULT_SHELL_OPTIONS } from '../../../shell/src/options.ts';
import { PeerAdapter } from '../../../shell/src/peers/peerAdapter.ts';
import { createHeartbeat, peerSender, createShareLevels } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import type { Series } from './series.ts';
import { ORGANISATIONS_PER_ROUTER, ROUTERS_PER_REGION } from './target.ts';

const SIZES = [200, 1_000, 2_000];
/** Stays below the limit of concurrent calls to one peer, above which messages are dropped. */
const BATCH_SIZE = 50;
const POLL_MS = 1;
/** Long enough for a busy machine: the message of a call that times out would be missing from the measurement. */
const PEER_TIMEOUT_MS = 60_000;
const MAX_POLLS = 60_000;
const MICROS_PER_MILLISECOND = 1_000;

function createAdapter(index: number, receive: (event: CoreEvent) => void): PeerAdapter {
  return new PeerAdapter({
    sink: {
      submit: receive,
      waitForStep: () => Promise.resolve(),
    },
    options: { ...DEFAULT_SHELL_OPTIONS, peerTimeoutMs: PEER_TIMEOUT_MS },
    logger: pino({ level: 'silent' }),
    resolveAddress: (address) => address,
    sender: () => peerSender(index),
  });
}

async function sendAll(
  sender: PeerAdapter,
  address: string,
  count: number,
  received: () => number,
): Promise<void> {
  const message = createHeartbeat(0, createShareLevels(ORGANISATIONS_PER_ROUTER));
  for (let sent = 0; sent < count; sent += BATCH_SIZE) {
    for (let index = sent; index < Math.min(count, sent + BATCH_SIZE); index += 1) {
      sender.send(address, message);
    }
    await waitFor(() => received() >= Math.min(count, sent + BATCH_SIZE));
  }
}

/** Polls a bounded number of times, so that a lost message ends the run with an error. */
async function waitFor(condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls >= MAX_POLLS) {
      throw new Error('A message between the two adapters was not delivered in time.');
    }
    await sleep(POLL_MS);
  }
}

async function measureMessageCpuMs(count: number): Promise<number> {
  let received = 0;
  const sender = createAdapter(0, () => undefined);
  const receiver = createAdapter(2, () => {
    received += 1;
  });
  const address = await receiver.listen('127.0.0.1:0');
  try {
    await sendAll(sender, address, 1, () => received);
    received = 0;
    const before = process.cpuUsage();
    await sendAll(sender, address, count, () => received);
    const { user, system } = process.cpuUsage(before);
    return (user + system) / MICROS_PER_MILLISECOND;
  } finally {
    await Promise.all([sender.close(), receiver.close()]);
  }
}

/** Cost of heartbeats over gRPC on the loopback interface, with both ends in this process. */
export async function measureTransport(options: SlopeOptions): Promise<Series[]> {
  const results = selectSizes(options, SIZES).map((size) => ({ size, values: [] as number[] }));
  for (let repeat = 0; repeat < options.repeats; repeat += 1) {
    for (const { size, values } of results) {
      values.push(await measureMessageCpuMs(size));
    }
  }
  return [
    {
      id: 'transport.heartbeats',
      quantity: 'heartbeats over gRPC, both ends together',
      unit: 'ms',
      sizeUnit: 'messages',
      targetSize: ROUTERS_PER_REGION - 1,
      points: results,
    },
  ];
}
