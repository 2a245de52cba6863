import { connect } from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { attemptId, now, runCase, sleep } from '../lib/fleet.mjs';
import { startProxy } from '../lib/proxy.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'desk.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
/** One way between clients and machines of the other region: 3 ms to clients and 8 ms between regions. */
const CLIENT_DELAY_MS = 11;
/** The site's freezes last 4.0 s. */
const FREEZE_MS = 3_500;
const DEADLINE_MS = 4_000;
/** A client opens its connection this long before its first request; `header-timeout-ms` allows 3,000. */
const OPENED_AHEAD_MS = 500;
const CLIENT_PAUSE_MS = 50;
const CLIENTS = 60;
const FREEZE_AFTER_CLIENTS = 30;
/** Statuses with which a router promises that the request hasn't run and never will. */
const PROMISES = [408, 421, 429, 503];

const configuration = {
  version: 3,
  routes: [
    {
      name: 'pulir',
      hostname: HOST,
      prefix: '/stream/',
      'route-kind': 'streaming',
      service: 'pluma',
      'timeout-ms': DEADLINE_MS,
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

/** Opens a connection, sends one request on it, reads the response and closes the connection. */
async function ask(fleet, router, aheadMs) {
  const request = attemptId();
  const [host, port] = router.proxy.address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  let text = '';
  const ended = new Promise((resolve) => {
    socket.on('data', (data) => {
      text += data.toString('latin1');
      if (isComplete(text)) {
        resolve();
      }
    });
    socket.on('error', resolve);
    socket.on('close', resolve);
  });
  await new Promise((resolve) => {
    socket.once('connect', resolve);
    socket.once('error', resolve);
  });
  await sleep(aheadMs);
  const body = 'x'.repeat(460);
  fleet.log(`client: sends ${request} to ${router.name}`);
  socket.write(
    [
      'POST /stream/letter HTTP/1.1',
      `Host: ${HOST}`,
      `X-Attempt-Id: ${request}`,
      `X-Deadline-Ms: ${DEADLINE_MS}`,
      `X-Api-Key: ${KEY}`,
      'X-Model: m',
      'X-Token-Usage: 460,60',
      `X-Prompt-Prefix: 5c1e07a2:300,${request}:160`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n'),
  );
  await Promise.race([ended, sleep(DEADLINE_MS)]);
  socket.destroy();
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
  fleet.log(
    `client: ${request} got ${status === 0 ? 'no answer' : `status ${status}`}, and closes its connection`,
  );
  return { request, status, router: router.name, endedAtMs: now() };
}

/** Whether the text holds a whole response, by its length or its last chunk. */
function isComplete(text) {
  const head = text.indexOf('\r\n\r\n');
  if (head < 0) {
    return false;
  }
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, head))?.[1];
  return length === undefined ? text.endsWith('\r\n0\r\n\r\n') : text.length >= head + 4 + Number(length);
}

await runCase(FOLDER, async (fleet, trouble) => {
  await fleet.start({
    routers: 3,
    configuration,
    engines: [1, 2, 3].map((index) => ({ id: `i-${index}`, service: 'pluma', events: 8, gapMs: 60 })),
  });
  for (const router of fleet.routers) {
    router.proxy = await startProxy('127.0.0.1', router.address, CLIENT_DELAY_MS);
  }
  const [frozen, ...others] = fleet.routers;
  const clients = [];
  for (let index = 0; index < CLIENTS; index += 1) {
    if (trouble && index === FREEZE_AFTER_CLIENTS) {
      fleet.log(`${frozen.name} freezes for ${FREEZE_MS} ms`);
      frozen.child.kill('SIGSTOP');
      setTimeout(() => {
        fleet.log(`${frozen.name} wakes`);
        frozen.child.kill('SIGCONT');
      }, FREEZE_MS);
    }
    const router = fleet.routers[index % fleet.routers.length];
    clients.push(
      ask(fleet, router, OPENED_AHEAD_MS).then(async (first) => {
        // After a promise, a client sends the request once more, to another machine.
        const again = PROMISES.includes(first.status) ? await ask(fleet, others[0], 0) : undefined;
        return { ...first, again };
      }),
    );
    await sleep(CLIENT_PAUSE_MS);
  }
  const answers = await Promise.all(clients);
  await sleep(500);
  for (const { proxy } of fleet.routers) {
    proxy.close();
  }
  const hasRun = (request) =>
    fleet.told.some((message) => message.kind === 'ran' && message.request === request);
  const statuses = answers.map(({ status }) => status);
  fleet.log(
    `statuses of the first requests: ${[...new Set(statuses)].map((s) => `${s}: ${statuses.filter((t) => t === s).length}`).join(', ')}`,
  );
  return answers
    .filter(({ request, status }) => PROMISES.includes(status) && hasRun(request))
    .map(({ request, status, router, again }) => {
      const repeat =
        again !== undefined && hasRun(again.request) ? `; the client's retry ${again.request} ran too` : '';
      return `REFUSED: ${router} answered ${request} with ${status}, and an engine ran it${repeat}`;
    });
});
