import { connect } from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { attemptId, runCase, sleep } from '../lib/fleet.mjs';
import { startProxy } from '../lib/proxy.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'desk.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
/** One way between clients and machines of the other region: 3 ms to clients and 8 ms between regions. */
const CLIENT_DELAY_MS = 11;
/** The site's freezes last 4.0 s. */
const FREEZE_MS = 700;
const FREEZE_PAUSE_MS = 1_200;
const DEADLINE_MS = 800;
const WORK_MS = 20;
/** A client opens its connection this long before its first request; `header-timeout-ms` allows 3,000. */
const OPENED_AHEAD_MS = 2_700;
const CLIENT_PAUSE_MS = 40;
/** Statuses with which a router promises that the request hasn't run and never will. */
const PROMISES = [408, 421, 429, 503];

const configuration = {
  version: 3,
  routes: [
    {
      name: 'cobro',
      hostname: HOST,
      prefix: '/pay/',
      'route-kind': 'unsafe',
      service: 'mostrador',
      'timeout-ms': DEADLINE_MS,
      'target-latency-ms': 120,
      'max-attempts': 1,
      priority: 2,
    },
  ],
  services: [{ name: 'mostrador', 'max-connections': 110 }],
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
  const body = 'x'.repeat(600);
  fleet.log(`client: sends ${request} to ${router.name}`);
  socket.write(
    [
      'POST /pay/order HTTP/1.1',
      `Host: ${HOST}`,
      `X-Attempt-Id: ${request}`,
      `X-Deadline-Ms: ${DEADLINE_MS}`,
      `X-Api-Key: ${KEY}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n'),
  );
  await Promise.race([ended, sleep(DEADLINE_MS)]);
  socket.destroy();
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
  const answer = status === 0 ? 'no answer' : `status ${status}`;
  fleet.log(`client: ${request} got ${answer}, and closes its connection`);
  return { request, status, router: router.name };
}

/** Whether the text holds a whole response with a length. */
function isComplete(text) {
  const head = text.indexOf('\r\n\r\n');
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, Math.max(0, head)))?.[1];
  return head >= 0 && length !== undefined && text.length >= head + 4 + Number(length);
}

await runCase(FOLDER, async (fleet, trouble) => {
  await fleet.start({
    routers: 3,
    configuration,
    engines: [1, 2, 3].map((index) => ({
      id: `i-${index}`,
      service: 'mostrador',
      slots: 6,
      workMs: WORK_MS,
    })),
  });
  for (const router of fleet.routers) {
    router.proxy = await startProxy('127.0.0.1', router.address, CLIENT_DELAY_MS);
  }
  const clients = [];
  let ended = false;
  const arrivals = (async () => {
    for (let index = 0; !ended; index += 1) {
      const router = fleet.routers[index % fleet.routers.length];
      const other = fleet.routers[(index + 1) % fleet.routers.length];
      clients.push(
        ask(fleet, router, OPENED_AHEAD_MS).then(async (first) => {
          // After a promise, a client sends the request once more, to another machine.
          const again = PROMISES.includes(first.status) ? await ask(fleet, other, 0) : undefined;
          return { ...first, again };
        }),
      );
      await sleep(CLIENT_PAUSE_MS);
    }
  })();
  await sleep(OPENED_AHEAD_MS + 1_000);
  // One machine at a time, each once.
  for (const router of fleet.routers) {
    if (trouble) {
      fleet.log(`${router.name} freezes for ${FREEZE_MS} ms`);
      router.child.kill('SIGSTOP');
    }
    await sleep(FREEZE_MS);
    if (trouble) {
      fleet.log(`${router.name} wakes`);
      router.child.kill('SIGCONT');
    }
    await sleep(FREEZE_PAUSE_MS);
  }
  ended = true;
  await arrivals;
  const answers = await Promise.all(clients);
  await sleep(500);
  for (const { proxy } of fleet.routers) {
    proxy.close();
  }
  const has = (kind, request) =>
    fleet.told.some((message) => message.kind === kind && message.request === request);
  const statuses = answers.map(({ status }) => status);
  const counts = [...new Set(statuses)].map(
    (status) => `${status}: ${statuses.filter((other) => other === status).length}`,
  );
  fleet.log(`statuses of the first requests: ${counts.join(', ')}`);
  return answers
    .filter(({ request, status }) => PROMISES.includes(status) && has('ran', request))
    .map(({ request, status, router, again }) => {
      const end = has('finished', request) ? ' to its end' : '';
      const repeat =
        again !== undefined && has('ran', again.request)
          ? `; the client's retry ${again.request} ran too`
          : '';
      return `REFUSED: ${router} answered ${request} with ${status}, and an engine ran it${end}${repeat}`;
    });
});
