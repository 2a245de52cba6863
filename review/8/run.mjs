import { call, newAttemptId } from '../lib-2/client.mjs';
import { freePort, host, Router, runCase, sleep, startProgram, TROUBLE } from '../lib-2/fleet.mjs';
import { Store } from '../lib-2/store.mjs';

const HOST = 'desk.example';
const HEARTBEAT_MS = 1200;
const DRAIN_MS = 2500;
const GRACE_MS = 8000;
const CLIENTS = 4;
/** Figures of `pulir` on the sheet: a stream that may not be resumed. */
const DEADLINE_MS = 4000;
const AIM_MS = 1200;
const GAP_AIM_MS = 250;
const EVENTS = 16;
const GAP_MS = 200;

await runCase(import.meta.url, async (record) => {
  const store = new Store();
  await store.listen(host(1));
  store.put('op', 'config', {
    version: 7,
    services: [{ name: 'pluma', 'health-path': '/healthz', 'max-connections': 370 }],
    routes: [
      {
        hostname: HOST,
        service: 'pluma',
        name: 'pulir',
        prefix: '/pulir/',
        'route-kind': 'streaming',
        'max-attempts': 1,
        'timeout-ms': DEADLINE_MS,
        'target-latency-ms': AIM_MS,
        'target-gap-ms': GAP_AIM_MS,
      },
    ],
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'idle-timeout-ms': 15000 },
  });

  const engineHost = host(2);
  const port = await freePort(engineHost);
  const ended = new Set();
  let state = 'ready';
  let sequence = 0;
  const born = Date.now();
  const beat = () =>
    store.put('servers', 'i-1', {
      service: 'pluma',
      address: `${engineHost}:${port}`,
      zone: 'golfo-a',
      version: 1,
      slots: 64,
      state,
      'warmup-left-ms': 0,
      sequence: (sequence += 1),
      born,
    });
  const engine = startProgram(
    'engine.mjs',
    { host: engineHost, port, id: 'i-1' },
    ({ did, attemptId, at }) => {
      record.add(`engine i-1 ${did} ${attemptId ?? at ?? ''}`);
      if (did === 'listens') beat();
      if (did === 'ended') ended.add(attemptId);
    },
  );
  const timer = setInterval(beat, HEARTBEAT_MS);

  const router = new Router(4, store, process.env.ROUTER_LOG);
  router.start();
  await router.waitUntilReady();
  await sleep(1500);

  const path = `/pulir/1?unframed&events=${EVENTS}&gap=${GAP_MS}`;
  const answers = Array.from({ length: CLIENTS }, async () => {
    const attemptId = newAttemptId();
    record.add(`client sends POST ${path} ${attemptId}`);
    const sentAtMs = performance.now();
    const seen = await call(router.address, {
      host: HOST,
      path,
      method: 'POST',
      attemptId,
      deadlineMs: DEADLINE_MS,
    });
    const tookMs = Math.round(performance.now() - sentAtMs);
    const events = (seen.body.match(/^id: /gm) ?? []).length;
    record.add(
      `client gets ${attemptId} after ${tookMs} ms: ${seen.status ?? seen.error}, ${events} of ${EVENTS} events, ` +
        (seen.complete ? 'complete' : `cut off (${seen.error ?? 'early end'})`),
    );
    return { ...seen, tookMs, events, endedAtMs: performance.now() };
  });
  await sleep(100);
  if (TROUBLE) {
    state = 'draining';
    engine.kill('SIGUSR2');
    beat();
    record.add('engine i-1 reports that it is draining');
  }
  await sleep(400);
  router.signal('SIGTERM');
  const stoppedAtMs = performance.now();
  record.add('the router gets SIGTERM');
  if (TROUBLE) {
    await sleep(DRAIN_MS - 300);
    clearInterval(timer);
    store.put('servers', 'i-1', undefined);
    engine.kill('SIGTERM');
  }
  const seen = await Promise.all(answers);
  const { code, signal } = await router.exited;
  record.add(`the router has ended with ${code ?? signal}`);

  // LOST around planned work, with its excuses: the engine broke off, the deadline was reached, or the engine was still
  // at work in the last sixth of the grace time.
  const lost = seen.filter(
    ({ complete, tookMs, endedAtMs, attemptId }) =>
      !complete &&
      ended.has(attemptId) &&
      tookMs < DEADLINE_MS &&
      endedAtMs < stoppedAtMs + (GRACE_MS * 5) / 6,
  );
  return {
    broken: lost.length > 0,
    verdict:
      `${lost.length} of ${CLIENTS} streams that the engine had ended whole were cut off after a SIGTERM ` +
      `(events: ${seen.map(({ events }) => events).join(', ')})`,
  };
});
