/**
 * The operator changes the configuration, the store comes back from a copy that is a few seconds older, the operator writes
 * again what was lost, and then makes a further change: a key is taken away, a route is dropped and one moves to another
 * service. All processes live throughout.
 */
import { Deployment, LIMITS, PLAIN_SERVICE, send, sleep } from '../lib-3/deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const COPY_AGE_MS = 5_000;
const AWAY_MS = 1_000;
/** From the return of the store to the further change. */
const CHANGE_DELAY_MS = 2_000;
/** `config-apply-ms` and, since the store was in disruption, `max-skew-ms`; a second more to be safe. */
const BOUND_MS = 2_500 + 5_000 + 1_000;
const PROBES = 10;

const deployment = new Deployment(import.meta.dirname);
const { store } = deployment;

const route = (name, service, timeoutMs) => ({
  name,
  hostname: 'desk.example',
  prefix: `/${name}/`,
  'route-kind': 'safe',
  'timeout-ms': timeoutMs,
  'target-latency-ms': 141,
  priority: 0,
  service,
  'max-attempts': 2,
  anonymous: false,
  'session-affinity': false,
  'stream-resume': false,
});

function putConfiguration(version, routes, keys) {
  const written = store.put('op', 'config', {
    version,
    routes,
    services: ['mostrador', 'caja'].map((name) => ({ name, ...PLAIN_SERVICE })),
    limits: LIMITS,
    tenants: [{ name: 'school', 'api-keys': keys, priority: 1, reserved: 1_000_000 }],
  });
  deployment.note(`version ${version} acknowledged: ${written}, row version ${store.version}`);
}

const putFirst = () =>
  putConfiguration(3, [route('lookup', 'mostrador', 800), route('old', 'mostrador', 800)], ['k1', 'k2']);
const putSecond = () =>
  putConfiguration(5, [route('lookup', 'mostrador', 900), route('old', 'mostrador', 900)], ['k1', 'k2']);
const putThird = () => putConfiguration(8, [route('lookup', 'caja', 900), route('new', 'caja', 900)], ['k1']);

let sent = 0;

async function probe(router, name, key) {
  sent += 1;
  const id = `b${String(sent).padStart(5, '0')}`;
  const headers = { Host: 'desk.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': '800', 'X-Api-Key': key };
  const answer = await send({ ...router.callers, path: `/${name}/1`, method: 'GET', headers });
  const run = deployment.runs.find((candidate) => candidate.id === id);
  deployment.record(
    `${id} ${name} with ${key} to ${router.name}: ${answer.status}, run by ${run?.service ?? '-'}`,
  );
  return { status: answer.status, service: run?.service };
}

await deployment.startStore();
await deployment.startEngine({ id: 'i-1', service: 'mostrador', slots: 6 });
await deployment.startEngine({ id: 'i-2', service: 'mostrador', slots: 6, zone: 'golfo-b' });
await deployment.startEngine({ id: 'i-3', service: 'caja', slots: 6 });
await deployment.startEngine({ id: 'i-4', service: 'caja', slots: 6, zone: 'golfo-b' });
putFirst();
await deployment.startRouters(3);
await sleep(5_000);

deployment.note(`the copy is taken; version of the store ${store.version}`);
const copy = store.takeCopy();
await sleep(COPY_AGE_MS - 1_000);
putSecond();
await sleep(1_000);
for (const router of deployment.routers) {
  const { status, service } = await probe(router, 'lookup', 'k1');
  if (status !== 200 || service !== 'mostrador') {
    deployment.note(`${router.name} does not serve before the disruption: status ${status}`);
    await deployment.stop(2);
  }
}
if (TROUBLE) {
  store.leave();
  deployment.note(`the store is away for ${AWAY_MS} ms; its version is ${store.version}`);
  await sleep(AWAY_MS);
  const ageMs = Math.round(performance.now() - copy.takenAtMs);
  store.returnFrom(copy);
  deployment.note(`the store is back from a copy that is ${ageMs} ms old; its version is ${store.version}`);
  putSecond();
  deployment.engines.forEach((engine) => engine.beat());
}
await sleep(CHANGE_DELAY_MS);
putThird();
await sleep(BOUND_MS);

let stale = 0;
for (let round = 0; round < PROBES; round += 1) {
  for (const router of deployment.routers) {
    const lookup = await probe(router, 'lookup', 'k1');
    const revoked = await probe(router, 'lookup', 'k2');
    const dropped = await probe(router, 'old', 'k1');
    const added = await probe(router, 'new', 'k1');
    stale += lookup.service === 'mostrador' ? 1 : 0;
    stale += revoked.service !== undefined ? 1 : 0;
    stale += dropped.service !== undefined ? 1 : 0;
    stale += added.status === 404 ? 1 : 0;
  }
  await sleep(500);
}
deployment.note(`version of the store ${store.version}`);
deployment.note(
  `${stale} of ${PROBES * deployment.routers.length * 4} requests handled as only version 5 allows`,
);
await deployment.stop(stale > 0 ? 1 : 0);
