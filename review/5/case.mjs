import { Agent } from 'node:http';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { attemptId, BOUNDS, pieces, runCase, send, sleep } from '../lib/fleet.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'desk.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
/** The store performs the unanswered write this much later: `platform_lost` late has 1 to 6 s. */
const LATE_MS = 5_650;
/** From the lost answer, which ends the disruption, to the engine's report: more than `contact-ms`, 3,000. */
const CALM_MS = 3_100;
/** Time for which the engine serves beyond `drain-ms` before it exits; at times many seconds. */
const LINGER_MS = 2_000;
const EVENTS = 10;
const GAP_MS = 200;
const REQUEST_PAUSE_MS = 60;

const configuration = {
  version: 3,
  routes: [
    {
      name: 'pulir',
      hostname: HOST,
      prefix: '/stream/',
      'route-kind': 'streaming',
      service: 'pluma',
      'timeout-ms': 4_000,
      'target-latency-ms': 1_200,
      'target-gap-ms': 250,
      'max-attempts': 1,
      priority: 1,
      'session-affinity': true,
    },
  ],
  services: [
    {
      name: 'pluma',
      'max-connections': 370,
      backend: { slots: 64, 'kv-capacity': 500_000, stride: 6, most: 8 },
    },
  ],
  tenants: [{ name: 'hule930', 'api-keys': [KEY], reserved: 100_000_000 }],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
};

function startStream(fleet, index, agents) {
  const request = attemptId();
  const place = index % fleet.routers.length;
  const router = fleet.routers[place];
  fleet.log(`client: sends ${request} to ${router.name}`);
  return send({
    address: router.address,
    path: '/stream/letter',
    agent: agents[place],
    headers: {
      Host: HOST,
      'X-Attempt-Id': request,
      'X-Deadline-Ms': '4000',
      'X-Api-Key': KEY,
      'X-Model': 'm',
      'X-Token-Usage': '460,60',
      'X-Prompt-Prefix': `5c1e${(index % 12).toString(16).padStart(4, '0')}:300,${request}:160`,
    },
    body: 'x'.repeat(460),
  }).then((answer) => {
    const ids = pieces(answer.body);
    const end = answer.complete ? 'complete' : `broken off (${answer.failure})`;
    fleet.log(
      `client: ${request} ended with status ${answer.status}, ${end}, ${ids.length} of ${EVENTS} pieces`,
    );
    return { request, router: router.name, ids, ...answer };
  });
}

await runCase(FOLDER, async (fleet, trouble) => {
  await fleet.start({
    routers: 3,
    configuration,
    engines: [1, 2, 3].map((index) => ({
      id: `i-${index}`,
      service: 'pluma',
      events: EVENTS,
      gapMs: GAP_MS,
    })),
  });
  const agents = fleet.routers.map(() => new Agent({ keepAlive: true }));
  const streams = [];
  let ended = false;
  const clients = (async () => {
    for (let index = 0; !ended; index += 1) {
      streams.push(startStream(fleet, index, agents));
      await sleep(REQUEST_PAUSE_MS);
    }
  })();
  await sleep(1_000);
  const [leaving] = fleet.engines;
  if (trouble) {
    fleet.writeLate(leaving, LATE_MS);
  }
  await sleep(CALM_MS);
  fleet.drain(leaving);
  await sleep(BOUNDS['drain-ms'] + LINGER_MS);
  fleet.log(`${leaving.id} exits, ${BOUNDS['drain-ms'] + LINGER_MS} ms after it reported that it leaves`);
  fleet.kill(leaving, true);
  ended = true;
  await clients;
  const answers = await Promise.all(streams);
  const whole = answers.filter(({ complete, ids }) => complete && ids.length === EVENTS).length;
  fleet.log(`${whole} of ${answers.length} streams are whole`);
  return fleet.told
    .filter(
      ({ kind, engine, atMs }) =>
        kind === 'arrived' && engine === leaving.id && atMs > leaving.leftAtMs + BOUNDS['drain-ms'],
    )
    .map(({ request, atMs }) => {
      const { router, ids } = answers.find((answer) => answer.request === request);
      return (
        `DRAIN: ${request} reached ${leaving.id} from ${router} ${Math.round(atMs - leaving.leftAtMs)} ms after the ` +
        `store had accepted that it drains; its client got ${ids.length} of ${EVENTS} pieces`
      );
    });
});
