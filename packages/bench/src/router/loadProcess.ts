// Child process that generates load on request of its parent and sends back counts and latencies.
import { Agent } from 'undici';
import type { LoadOrder, LoadResult } from './loadTypes.ts';

const REQUEST_TIMEOUT_MS = 5_000;
/** Length of the end of a response that is searched for the end marker. */
const TAIL_CHARS = 400;

interface LoadSamples {
  answered: number;
  failed: number;
  readonly firstTokenMs: number[];
  readonly totalMs: number[];
}

async function sendRequest(agent: Agent, order: LoadOrder, samples: LoadSamples): Promise<void> {
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
      end = (end + String(part)).slice(-TAIL_CHARS);
    }
    if (response.statusCode !== 200 || !end.includes(order.endMarker)) {
      throw new Error(`status ${response.statusCode}, end "${end}"`);
    }
    samples.answered += 1;
    samples.firstTokenMs.push(firstMs);
    samples.totalMs.push(performance.now() - startMs);
  } catch (error) {
    if (samples.failed === 0) {
      process.stderr.write(`first failed request: ${String(error)}\n`);
    }
    samples.failed += 1;
  }
}

async function runClosedLoop(
  agent: Agent,
  order: LoadOrder,
  count: number,
  samples: LoadSamples,
): Promise<void> {
  const endMs = performance.now() + order.durationMs;
  const connection = async () => {
    while (performance.now() < endMs) {
      await sendRequest(agent, order, samples);
    }
  };
  await Promise.all(Array.from({ length: count }, connection));
}

async function runOpenLoop(
  agent: Agent,
  order: LoadOrder,
  requestsPerSecond: number,
  samples: LoadSamples,
): Promise<void> {
  const startMs = performance.now();
  const total = Math.floor((order.durationMs / 1_000) * requestsPerSecond);
  const pending: Promise<void>[] = [];
  for (let count = 0; count < total; count += 1) {
    const waitMs = startMs + (count * 1_000) / requestsPerSecond - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    pending.push(sendRequest(agent, order, samples));
  }
  await Promise.all(pending);
}

async function run(order: LoadOrder): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1 });
  const samples: LoadSamples = { answered: 0, failed: 0, firstTokenMs: [], totalMs: [] };
  const startMs = performance.now();
  const { load } = order;
  switch (load.kind) {
    case 'closed':
      await runClosedLoop(agent, order, load.connectionCount, samples);
      break;
    case 'open':
      await runOpenLoop(agent, order, load.requestsPerSecond, samples);
      break;
  }
  const elapsedMs = performance.now() - startMs;
  await agent.close();
  return { ...samples, elapsedMs };
}

process.on('message', (order: LoadOrder) => {
  void run(order).then((result) => process.send?.(result));
});
process.once('disconnect', () => process.exit(0));
