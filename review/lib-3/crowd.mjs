/**
 * Not a case: sends COUNT streams at once to one router with the memory of the smallest small machine, each with a head
 * within `max-header-bytes` that names 255 parts of a prompt, while the engine does not answer. Tells whether the process lives.
 *
 * Arguments: COUNT PARTS (default: 2000 255)
 */
import { connect, createServer } from 'node:net';
import { readFileSync } from 'node:fs';
import { Deployment, LIMITS, MODEL_SERVICE, sleep } from './deployment.mjs';

const [count = 2_000, partCount = 255] = process.argv.slice(2).map(Number);
const MEMORY_MB = 200;
const PAD_BYTES = 9_000;
const HEARTBEAT_MS = 1_200;
const WATCHED_S = 9;

const deployment = new Deployment(import.meta.dirname, { memoryMb: MEMORY_MB, recordName: undefined });
const engine = createServer((socket) => socket.resume().on('error', () => socket.destroy()));
await deployment.startStore();
await new Promise((resolve) => engine.listen(0, deployment.host(150), resolve));
const beat = () =>
  deployment.store.put('servers', 'i-1', {
    service: 'pluma',
    address: `${deployment.host(150)}:${engine.address().port}`,
    zone: 'golfo-a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    'warmup-left-ms': 0,
    sequence: Date.now(),
    born: 1,
  });
beat();
setInterval(beat, HEARTBEAT_MS);
deployment.store.put('op', 'config', {
  version: 1,
  routes: [
    {
      name: 'label',
      hostname: 'desk.example',
      prefix: '/label/',
      'route-kind': 'streaming',
      'timeout-ms': 20_000,
      'target-latency-ms': 1200,
      'target-gap-ms': 250,
      priority: 1,
      service: 'pluma',
      'max-attempts': 1,
      anonymous: true,
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
const { pid } = router.child;
let end;
router.child.once('exit', (code, signal) => {
  end = `code ${code}, signal ${signal}`;
});

const partsOf = (index) =>
  Array.from(
    { length: partCount },
    (_, part) => `${(index * 1_000 + part).toString(16).padStart(20, 'a')}:5`,
  ).join(',');
let answers = 0;
for (let index = 0; index < count && end === undefined; index += 1) {
  const socket = connect(router.callers);
  socket.on('error', () => socket.destroy());
  socket.on('data', () => {
    answers += 1;
  });
  socket.write(
    `POST /label/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: e${index}\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\n` +
      `X-Token-Usage: 1275,100\r\nX-Prompt-Prefix: ${partsOf(index)}\r\nX-Pad: ${'p'.repeat(PAD_BYTES)}\r\n` +
      'Content-Length: 0\r\n\r\n',
  );
  if (index % 50 === 0) {
    await sleep(5);
  }
}
await sleep(WATCHED_S * 1_000);
if (end === undefined) {
  const [, peakKb] = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  deployment.note(
    `${count} requests: the process lives, peak ${Math.round(peakKb / 1024)} MB, ${answers} refused`,
  );
} else {
  deployment.note(`${count} requests: the process has ended by itself: ${end}`);
}
await deployment.stop(end === undefined ? 0 : 1);
