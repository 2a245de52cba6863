// Sends requests as its parent orders and reports what it saw.
import { Agent } from 'undici';
import type { LoadOrder, LoadResult } from './loadTypes.ts';

const REQUEST_TIMEOUT_MS = 5_000;
const END_MARK_CHARS = 400;

interface Tally {
  answered: number;
  failed: number;
  readonly firstTokenMs: number[];
  readonly totalMs: number[];
}

async function sendOne(agent: Agent, order: LoadOrder, tally: Tally): Promise<void> {
  const startMs = performance.now();
  let firstMs = 0;
  let end = '';
  try {
    const response = await agent.request({
      origin: `http://${order.address}`,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: { authorization: `Bearer ${order.bearerKey}`, 'content-type': 'application/json' },
      body: order.body,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    for await (const part of response.body) {
      firstMs ||= performance.now() - startMs;
      end = (end + String(part)).slice(-END_MARK_CHARS);
    }
    if (response.statusCode !== 200 || !end.includes(order.endMark)) {
      throw new Error(`status ${response.statusCode}, end "${end}"`);
    }
    tally.answered += 1;
    tally.firstTokenMs.push(firstMs);
    tally.totalMs.push(performance.now() - startMs);
  } catch (error) {
    if (tally.failed === 0) {
      process.stderr.write(`first failed request: ${String(error)}\n`);
    }
    tally.failed += 1;
  }
}

async function runClosed(agent: Agent, order: LoadOrder, count: number, tally: Tally): Promise<void> {
  const endMs = performance.now() + order.durationMs;
  const connection = async () => {
    while (performance.now() < endMs) {
      await sendOne(agent, order, tally);
    }
  };
  await Promise.all(Array.from({ length: count }, connection));
}

async function runOpen(agent: Agent, order: LoadOrder, perSecond: number, tally: Tally): Promise<void> {
  const startMs = performance.now();
  const total = Math.floor((order.durationMs / 1_000) * perSecond);
  const open: Promise<void>[] = [];
  for (let count = 0; count < total; count += 1) {
    const waitMs = startMs + (count * 1_000) / perSecond - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    open.push(sendOne(agent, order, tally));
  }
  await Promise.all(open);
}

async function run(order: LoadOrder): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1 });
  const tally: Tally = { answered: 0, failed: 0, firstTokenMs: [], totalMs: [] };
  const startMs = performance.now();
  const { load } = order;
  switch (load.kind) {
    case 'closed':
      await runClosed(agent, order, load.connectionCount, tally);
      break;
    case 'open':
      await runOpen(agent, order, load.requestsPerSecond, tally);
      break;
  }
  const elapsedMs = performance.now() - startMs;
  await agent.close();
  return { ...tally, elapsedMs };
}

process.on('message', (order: LoadOrder) => {
  void run(order).then((result) => process.send?.(result));
});
process.once('disconnect', () => process.exit(0));
