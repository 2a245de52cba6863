/**
 * A machine is stopped while an engine leaves in an orderly way: the engine stops listening, closes its idle connections,
 * finishes its streams, which have no length, and ends. Without the engine's leaving (TROUBLE=0), only the machine is stopped.
 */
import path from 'node:path';
import { BOUNDS, Deployment, LIMITS, MODEL_SERVICE, send, sleep } from '../lib-3/deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const EVENTS = 16;
const GAP_MS = 200;
const STREAMS = 4;
/** Times from the first request on. */
const DRAIN_AT_MS = 200;
const SIGTERM_AT_MS = 600;
const STOP_LISTENING_AT_MS = DRAIN_AT_MS + BOUNDS['drain-ms'] + 100;
const HEARTBEAT_MS = 1_200;

const deployment = new Deployment(import.meta.dirname);
const { store } = deployment;
const id = 'i-1';
await deployment.startStore();
const host = deployment.host(150);
const finished = new Set();
let state = 'ready';
let sequence = 0;

const program = path.join(import.meta.dirname, '../lib-3/engineProcess.mjs');
const args = [program, id, host, '0', String(EVENTS), String(GAP_MS)];
const engine = deployment.spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
const engineEnded = new Promise((resolve) =>
  engine.once('exit', (code) => {
    deployment.note(`the engine has ended by itself, code ${code}`);
    resolve();
  }),
);
const port = await new Promise((resolve) => {
  engine.stdout.on('data', (data) => {
    for (const line of data.toString().trim().split('\n')) {
      deployment.record(`${id}: ${line}`);
      const [word, value] = line.split(' ');
      if (word === 'listening') {
        resolve(Number(value));
      } else if (word === 'done') {
        finished.add(value);
      }
    }
  });
});

const born = Date.now();
const beat = () => {
  sequence += 1;
  store.put('servers', id, {
    service: 'pluma',
    address: `${host}:${port}`,
    zone: 'golfo-a',
    version: 'v1',
    slots: 64,
    state,
    'warmup-left-ms': 0,
    sequence,
    born,
  });
};

beat();
const heartbeat = setInterval(beat, HEARTBEAT_MS);
store.put('op', 'config', {
  version: 7,
  routes: [
    {
      name: 'letter',
      hostname: 'desk.example',
      prefix: '/letter/',
      'route-kind': 'streaming',
      'timeout-ms': 4000,
      'target-latency-ms': 1200,
      'target-gap-ms': 250,
      priority: 1,
      service: 'pluma',
      'max-attempts': 1,
      anonymous: false,
      'session-affinity': true,
      'stream-resume': false,
    },
  ],
  services: [{ name: 'pluma', ...MODEL_SERVICE }],
  limits: LIMITS,
  tenants: [{ name: 'school', 'api-keys': ['key-of-school'], priority: 1, reserved: 1_000_000 }],
});
await deployment.startRouters(1);
const [router] = deployment.routers;
await sleep(4_000);

const plan = async () => {
  await sleep(DRAIN_AT_MS);
  if (TROUBLE) {
    state = 'draining';
    beat();
    engine.kill('SIGUSR2');
    deployment.note('the store has accepted that the engine is draining');
  }
  await sleep(SIGTERM_AT_MS - DRAIN_AT_MS);
  router.kill('SIGTERM');
  if (TROUBLE) {
    await sleep(STOP_LISTENING_AT_MS - SIGTERM_AT_MS);
    deployment.note('the engine stops listening, closes its idle connections and finishes its streams');
    engine.kill('SIGTERM');
    await engineEnded;
    clearInterval(heartbeat);
  }
};

const planned = plan();
const answers = await Promise.all(
  Array.from({ length: STREAMS }, async (_, index) => {
    const attempt = `d${index + 1}`;
    const sentAtMs = performance.now();
    const answer = await send({
      ...router.callers,
      path: '/letter/1',
      headers: {
        Host: 'desk.example',
        'X-Attempt-Id': attempt,
        'X-Model': 'm',
        'X-Token-Usage': '2890,96',
        'X-Prompt-Prefix': `5c1e07a2:2000,${attempt}:890`,
        'X-Deadline-Ms': '4000',
        'X-Api-Key': 'key-of-school',
      },
      body: 'prompt',
    });
    const lastedMs = Math.round(performance.now() - sentAtMs);
    const events = (answer.body.match(/^id: /gm) ?? []).length;
    const outcome = `status ${answer.status}, ${events} of ${EVENTS} events, complete: ${answer.complete}`;
    deployment.note(`${attempt}: ${outcome}, ${answer.detail}, after ${lastedMs} ms`);
    return { ...answer, attempt, events, lastedMs };
  }),
);
await planned;
clearInterval(heartbeat);
engine.kill('SIGKILL');

const ended = answers.filter(({ attempt }) => finished.has(attempt)).length;
const lost = answers.filter(
  ({ attempt, complete, lastedMs }) => finished.has(attempt) && !complete && lastedMs < 4_000,
).length;
deployment.note(`${lost} of ${STREAMS} streams that the engine ended whole are cut off at their callers`);
await deployment.stop(lost > 0 ? 1 : ended < STREAMS ? 2 : 0);
