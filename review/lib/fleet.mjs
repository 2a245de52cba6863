// Starts a small deployment on loopback addresses: the store, engines and clients are stand-ins, the routers are the
// project's own program, with the run command of deploy/system.toml and settings rendered from its template.
import { fork, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, get, request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

export { sleep };

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const DEPLOY = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
const RUN = /^run = "([^"]+)"/m.exec(DEPLOY)[1].split(' ');
const TEMPLATE = readFileSync(path.join(ROOT, 'deploy/router.yaml.template'), 'utf8');
const HEARTBEAT_MS = 1_200;

/** Bounds of the small site, as its sheet has them. */
export const BOUNDS = {
  'drain-ms': 2_500,
  'grace-s': 8,
  'retry-ratio': 0.2,
  'retry-window-s': 10,
  'retry-slack': 58,
  ttl_max_s: 5,
};

export const now = () => performance.timeOrigin + performance.now();

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export class Fleet {
  startedAtMs = now();
  store = new Store();
  routers = [];
  engines = [];
  /** What the engines told, in order. */
  told = [];
  #children = new Set();
  #timers = [];
  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  #record;

  constructor(caseFolder) {
    this.#record = createWriteStream(path.join(caseFolder, 'record.txt'));
    process.on('exit', () => this.#killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.on(signal, () => process.exit(NOT_RUN));
    }
  }

  log(text) {
    this.#record.write(`${((now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
  }

  async start({ routers, configuration, engines }) {
    this.storeAddress = await this.store.listen('127.0.0.1');
    this.store.put('op', 'config', configuration);
    for (const engine of engines) {
      await this.startEngine(engine);
    }
    for (let index = 1; index <= routers; index += 1) {
      this.routers.push(await this.startRouter(index));
    }
    const limitMs = now() + 20_000;
    for (const router of this.routers) {
      while (!(await isReady(router))) {
        if (now() > limitMs) {
          throw new Error(`${router.name} isn't ready`);
        }
        await sleep(50);
      }
    }
    // The routers then know each other and the engines.
    await sleep(1_500);
    this.log('all routers are ready');
  }

  async startRouter(index) {
    // A loopback address of its own, since the metrics port of the template is fixed.
    const host = `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.${index}`;
    const name = `edge-a-${index}`;
    const [frontend, ready, controlPlane, directory, internal] = await freePorts(host, 5);
    const listen = {
      frontend: `${host}:${frontend}`,
      ready: `${host}:${ready}`,
      'control-plane': `${host}:${controlPlane}`,
      directory: `${host}:${directory}`,
    };
    const settings = {
      'node-name': name,
      region: 'r',
      zone: 'a',
      zones: { a: 'r' },
      ip: host,
      listen,
      'internal-ports': [internal, internal],
      platform: { address: this.storeAddress, 'writes-per-s': 800, 'reads-per-s': 2_000 },
      bounds: BOUNDS,
    };
    const file = path.join(this.#folder, `${name}.yaml`);
    writeFileSync(file, render(TEMPLATE, settings));
    const router = {
      name,
      host,
      file,
      address: listen.frontend,
      ready: listen.ready,
      directory: listen.directory,
    };
    this.spawnRouter(router);
    return router;
  }

  spawnRouter(router) {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, ...(LANG === undefined ? {} : { LANG }), PIMENTOSTALL_BOOT: router.file };
    const child = spawn(RUN[0] === 'node' ? process.execPath : RUN[0], RUN.slice(1), {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(createWriteStream(path.join(this.#folder, `${router.name}.log`), { flags: 'a' }));
    child.stderr.on('data', (data) => this.log(`${router.name} on standard error: ${String(data).trim()}`));
    router.child = child;
    router.exited = false;
    this.#children.add(child);
    child.on('exit', (code, signal) => {
      this.#children.delete(child);
      router.exited = true;
      this.log(`${router.name} (process ${child.pid}) ended: ${signal ?? `code ${code}`}`);
    });
    this.log(`${router.name} started as process ${child.pid}`);
  }

  /** Lines of a router's log, as objects. */
  routerLog(router) {
    return readFileSync(path.join(this.#folder, `${router.name}.log`), 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line));
  }

  async startEngine({ id, service, zone = 'a', slots = 64, ...behaviour }) {
    const child = fork(
      path.join(ROOT, 'review/lib/engine.mjs'),
      [JSON.stringify({ id, host: '127.0.0.1', slots, ...behaviour })],
      {
        stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
      },
    );
    this.#children.add(child);
    const engine = { id, child, exited: false, leftAtMs: undefined };
    const listening = new Promise((resolve, reject) => {
      child.on('message', (message) => {
        if (message.kind === 'listening') {
          resolve(message.port);
          return;
        }
        this.told.push(message);
        this.log(`${id}: ${message.kind} ${message.request}`);
      });
      child.on('exit', () => reject(new Error(`${id} ended`)));
    });
    child.on('exit', (code, signal) => {
      this.#children.delete(child);
      engine.exited = true;
      this.log(`${id} (process ${child.pid}) ended: ${signal ?? `code ${code}`}`);
    });
    engine.address = `127.0.0.1:${await listening}`;
    engine.entry = {
      service,
      address: engine.address,
      zone,
      version: '1',
      slots,
      state: 'ready',
      'warmup-left-ms': 0,
      sequence: 1,
      born: Math.round(now()),
    };
    this.store.put('servers', id, engine.entry);
    this.#startBeats(engine);
    this.engines.push(engine);
    this.log(`${id} of ${service} listens at ${engine.address}`);
    return engine;
  }

  #startBeats(engine) {
    clearInterval(engine.beat);
    engine.beat = setInterval(() => {
      engine.entry = { ...engine.entry, sequence: engine.entry.sequence + 1 };
      this.store.put('servers', engine.id, engine.entry);
    }, HEARTBEAT_MS);
    this.#timers.push(engine.beat);
  }

  /** The engine reports that it is draining; the store has accepted it when this returns. */
  drain(engine) {
    engine.entry = { ...engine.entry, state: 'draining', sequence: engine.entry.sequence + 1 };
    engine.child.send('leave');
    this.store.put('servers', engine.id, engine.entry);
    engine.leftAtMs = now();
    this.#startBeats(engine);
    this.log(`the store has accepted that ${engine.id} is draining`);
  }

  /** The next heartbeat of an engine gets no answer, and the store performs it later. */
  writeLate(engine, delayMs) {
    engine.entry = { ...engine.entry, sequence: engine.entry.sequence + 1 };
    const { entry } = engine;
    this.log(`${engine.id} writes sequence ${entry.sequence}, ${entry.state}; the store doesn't answer`);
    this.#timers.push(
      setTimeout(() => {
        this.log(
          `the store performs the write of ${engine.id} with sequence ${entry.sequence}, ${entry.state}`,
        );
        this.store.put('servers', engine.id, entry);
      }, delayMs),
    );
  }

  /** Ends an engine's process; its entry goes after three heartbeats, or at once if it has left as planned. */
  kill(engine, removesEntry) {
    clearInterval(engine.beat);
    engine.child.kill('SIGKILL');
    if (removesEntry) {
      this.store.put('servers', engine.id, undefined);
    } else {
      engine.lapse = setTimeout(() => this.store.put('servers', engine.id, undefined), 3 * HEARTBEAT_MS);
      this.#timers.push(engine.lapse);
    }
  }

  /** Starts an engine again after its end: under its id, at its address, as a new incarnation. */
  async restart(engine, behaviour) {
    clearTimeout(engine.lapse);
    while (!engine.exited) {
      await sleep(5);
    }
    const port = Number(engine.address.split(':')[1]);
    this.engines = this.engines.filter((other) => other !== engine);
    return this.startEngine({ id: engine.id, service: engine.entry.service, port, ...behaviour });
  }

  async finish() {
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    this.#killAll();
    this.store.close();
    while (this.#children.size > 0) {
      await sleep(20);
    }
    rmSync(this.#folder, { recursive: true, force: true });
    await new Promise((resolve) => this.#record.end(resolve));
  }

  #killAll() {
    for (const child of this.#children) {
      child.kill('SIGKILL');
    }
  }
}

/** Runs a case: `body` returns the broken rules as texts. Exits with the code of the result. */
export async function runCase(caseFolder, body) {
  const fleet = new Fleet(caseFolder);
  const trouble = process.env.TROUBLE !== '0';
  let code = NOT_RUN;
  try {
    const broken = await body(fleet, trouble);
    for (const text of broken) {
      fleet.log(`BROKEN: ${text}`);
    }
    code = broken.length > 0 ? BROKEN : HELD;
    const verdict = broken.length > 0 ? `broken ${broken.length} times` : 'held';
    fleet.log(`the rule was ${verdict}`);
    process.stdout.write(`${trouble ? 'with' : 'without'} the disruption: the rule was ${verdict}\n`);
  } catch (cause) {
    fleet.log(`the case couldn't run: ${cause.stack}`);
    process.stdout.write(`the case couldn't run: ${cause.message}\n`);
  }
  await fleet.finish();
  process.exit(code);
}

/**
 * Sends one request as a client does and reads the whole answer.
 *
 * @returns status, headers and body; `complete` tells whether HTTP says that the answer has ended as a whole
 */
export function send({
  address,
  path: target,
  method = 'POST',
  headers,
  body = '',
  agent = new Agent(),
  limitMs = 20_000,
  firstByteLimitMs = limitMs,
}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    let status;
    let answer;
    let settled = false;
    const settle = (complete, failure) => {
      if (!settled) {
        settled = true;
        clearTimeout(timer);
        clearTimeout(firstTimer);
        resolve({
          status,
          headers: answer?.headers ?? {},
          body: Buffer.concat(chunks).toString('utf8'),
          complete,
          failure,
          endedAtMs: now(),
        });
      }
    };
    const call = httpRequest({ host, port, path: target, method, headers, agent }, (response) => {
      answer = response;
      status = response.statusCode;
      response.on('data', (chunk) => {
        clearTimeout(firstTimer);
        chunks.push(chunk);
      });
      response.on('end', () => settle(response.complete));
      response.on('error', (cause) => settle(false, cause.code ?? cause.message));
      response.on('close', () => settle(response.complete));
    });
    const giveUp = () => {
      settle(false, 'the client gave up');
      call.destroy();
    };
    const timer = setTimeout(giveUp, limitMs);
    const firstTimer = setTimeout(giveUp, firstByteLimitMs);
    call.on('error', (cause) => settle(false, cause.code ?? cause.message));
    call.end(body);
  });
}

/** Returns the pieces of an event stream as numbers, without an incomplete last one. */
export function pieces(body) {
  return [...body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].map(([, id]) => Number(id));
}

let attemptCount = 0;

export function attemptId() {
  attemptCount += 1;
  return `${process.pid.toString(16).padStart(8, '0')}${attemptCount.toString(16).padStart(8, '0')}`;
}

function isReady({ ready }) {
  return new Promise((resolve) => {
    const call = get(`http://${ready}/api/readyz`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    call.on('error', () => resolve(false));
  });
}

/** Renders the placeholders `{{a.b}}` and `{{a.b|json}}`. */
function render(template, fields) {
  return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name.split('.').reduce((object, key) => object?.[key], fields);
    return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
  });
}

/** Returns ports of a loopback address that are free now. */
async function freePorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((server) => new Promise((resolve) => server.listen(0, host, resolve))));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
