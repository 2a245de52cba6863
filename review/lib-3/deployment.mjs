/**
 * A small deployment on loopback addresses: routers as separate processes with the command and the settings template of
 * the deploy file, the stand-ins of the store and of the engines in this process.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Engine, sleep } from './engine.mjs';
import { Store } from './store.mjs';

export const ROOT = path.resolve(import.meta.dirname, '../..');
const RESTART_DELAY_MS = 500;
/** A case ends on its own long before. */
const MAX_DURATION_MS = 110_000;
/** Characters of the output of a router that fails which are recorded. */
const MAX_RECORDED_OUTPUT = 600;
/** Port of the metrics in the settings template. */
const METRICS_PORT = 9464;
/** Ports below those that the kernel gives to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Second bytes of the loopback addresses of a deployment. */
const FIRST_NET = 20;
const NET_COUNT = 200;
/** Address on which a deployment listens to reserve the others. */
const RESERVATION_INDEX = 199;
/** Exit status of a broken rule; Node.js itself ends with 1 after an error. See run.sh. */
const BROKEN_STATUS = 10;

/** Bounds of the small deployments. */
export const BOUNDS = {
  'contact-ms': 3000,
  'drain-ms': 2500,
  'grace-s': 8,
  'config-apply-ms': 2500,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'retry-ratio': 0.2,
  'retry-window-s': 10,
  'retry-slack': 58,
  'recover-s': 12,
  ttl_max_s: 5,
};

const ZONES = { 'golfo-a': 'golfo', 'golfo-b': 'golfo', 'pacifico-a': 'pacifico' };

export const LIMITS = {
  'max-header-bytes': 16384,
  'max-body-bytes': 4194304,
  'header-timeout-ms': 3000,
  'idle-timeout-ms': 15000,
};

export const MODEL_SERVICE = {
  'health-path': '/healthz',
  'max-connections': 370,
  protocol: 'h1',
  tls: false,
  backend: {
    slots: 64,
    'kv-capacity': 518539,
    'kv-bytes': 163840,
    stride: 6,
    most: 12,
    models: [{ name: 'm' }],
  },
};

export const PLAIN_SERVICE = {
  'health-path': '/healthz',
  'max-connections': 110,
  protocol: 'h1',
  tls: false,
};

export class Deployment {
  /**
   * @param {string} folder the folder of the case, which gets `record.txt`
   * @param {{ memoryMb?: number, recordName?: string | undefined }} options
   */
  constructor(folder, options = {}) {
    const { memoryMb, recordName } = { memoryMb: 350, recordName: 'record.txt', ...options };
    this.memoryMb = memoryMb;
    this.folder = mkdtempSync(path.join(tmpdir(), 'pimentostall-review-'));
    this.recordFile = recordName === undefined ? undefined : path.join(folder, recordName);
    this.lines = [];
    this.startedAtMs = performance.now();
    this.net = FIRST_NET;
    this.routers = [];
    /** All processes that were started, to be ended with the script. */
    this.children = new Set();
    this.engines = [];
    this.runs = [];
    this.store = new Store();
    const command = /run = "([^"]+)"/.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1];
    this.command = command.split(' ');
    this.template = readFileSync(path.join(ROOT, 'deploy/router.yaml.template'), 'utf8');
    for (const event of ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection']) {
      process.on(event, (cause) => {
        this.note(`${event}: ${cause instanceof Error ? cause.stack : cause}`);
        void this.stop(2);
      });
    }
    process.on('exit', () => {
      for (const child of this.children) {
        child.kill('SIGKILL');
      }
    });
    setTimeout(() => void this.stop(2), MAX_DURATION_MS).unref();
  }

  record(text) {
    const line = `${((performance.now() - this.startedAtMs) / 1_000).toFixed(3)} ${text}`;
    this.lines.push(line);
  }

  note(text) {
    this.record(text);
    console.log(this.lines.at(-1));
  }

  host(index) {
    return `127.${this.net}.${Math.floor(index / 200)}.${(index % 200) + 1}`;
  }

  /** Takes addresses that no other deployment uses, and starts the store there. */
  async startStore() {
    do {
      this.net = FIRST_NET + Math.floor(Math.random() * NET_COUNT);
      this.reservation = await tryListen(this.host(RESERVATION_INDEX), METRICS_PORT);
    } while (this.reservation === undefined);
    this.storeHost = this.host(0);
    this.storePort = await freePort(this.storeHost);
    await this.store.listen(this.storeHost, this.storePort);
  }

  async startEngine({ id, service, zone = 'golfo-a', slots }) {
    const host = this.host(100 + this.engines.length);
    const engine = new Engine({
      id,
      service,
      zone,
      slots,
      store: this.store,
      onRun: (run) => {
        this.runs.push({ ...run, atMs: performance.now() });
        this.record(
          `run ${run.id} at ${run.engine} of ${run.service} tenant ${run.headers['x-tenant'] ?? '-'}`,
        );
      },
    });
    this.engines.push(engine);
    await engine.start(host, await freePort(host));
    return engine;
  }

  async startRouters(count) {
    const zones = Object.keys(ZONES);
    const ports = [];
    for (let index = 0; index < 5; index += 1) {
      ports.push(await freePort(this.host(1)));
    }
    for (let index = 0; index < count; index += 1) {
      const router = new Router(this, index, zones[index % zones.length], ports);
      this.routers.push(router);
      router.start();
    }
    for (const router of this.routers) {
      await router.untilReady(20_000);
    }
  }

  /** Starts a process that is ended with the script. */
  spawn(program, args, options) {
    const child = spawn(program, args, options);
    this.children.add(child);
    return child;
  }

  /**
   * Ends all processes and the script.
   *
   * @param status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run
   */
  async stop(status) {
    for (const router of this.routers) {
      router.end();
    }
    await sleep(100);
    for (const engine of this.engines) {
      engine.close();
    }
    this.store.close();
    this.reservation?.close();
    this.lines.push(`exit ${status}`);
    if (this.recordFile !== undefined) {
      writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
    }
    rmSync(this.folder, { recursive: true, force: true });
    process.exit(status === 1 ? BROKEN_STATUS : status);
  }
}

class Router {
  constructor(deployment, index, zone, [callers, readiness, entry, control, peers]) {
    this.deployment = deployment;
    this.name = `edge-${zone}-${index + 1}`;
    this.host = deployment.host(index + 1);
    this.callers = { host: this.host, port: callers };
    this.readiness = { host: this.host, port: readiness };
    this.entry = { host: this.host, port: entry };
    this.restarts = true;
    this.ended = false;
    this.settingsFile = path.join(deployment.folder, `${this.name}.yaml`);
    const fields = {
      'node-name': this.name,
      role: 'router',
      ip: this.host,
      zone,
      region: ZONES[zone],
      zones: ZONES,
      'internal-ports': [peers, peers + 1],
      'heartbeat-ms': 1200,
      listen: {
        frontend: `${this.host}:${callers}`,
        ready: `${this.host}:${readiness}`,
        directory: `${this.host}:${entry}`,
        'control-plane': `${this.host}:${control}`,
      },
      limits: { 'memory-mb': deployment.memoryMb, 'max-fds': 4100 },
      bounds: BOUNDS,
      platform: {
        address: `${deployment.storeHost}:${deployment.storePort}`,
        'writes-per-s': 800,
        'reads-per-s': 2000,
      },
    };
    writeFileSync(this.settingsFile, render(deployment.template, fields));
  }

  start() {
    const [program, ...args] = this.deployment.command;
    const { PATH, HOME, LANG } = process.env;
    this.child = this.deployment.spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG !== undefined && { LANG }), PIMENTOSTALL_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let lastOutput = '';
    this.child.stdout.on('data', (data) => {
      lastOutput = data.toString();
    });
    this.child.once('exit', (code, signal) => {
      this.deployment.record(`process of ${this.name} ended: code ${code}, signal ${signal}`);
      if (code !== null && code !== 0) {
        this.deployment.record(lastOutput.trim().slice(-MAX_RECORDED_OUTPUT));
      }
      if (this.restarts) {
        setTimeout(() => this.restarts && this.start(), RESTART_DELAY_MS);
      }
    });
  }

  kill(signal = 'SIGKILL') {
    this.deployment.note(`${signal} to ${this.name}`);
    this.child.kill(signal);
  }

  end() {
    this.restarts = false;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
  }

  async untilReady(limitMs) {
    const untilMs = performance.now() + limitMs;
    while (performance.now() < untilMs) {
      const answer = await send({ ...this.readiness, path: '/api/readyz', method: 'GET', timeoutMs: 1_000 });
      if (answer.status === 200) {
        return;
      }
      await sleep(50);
    }
    this.deployment.note(`${this.name} is not ready`);
    await this.deployment.stop(2);
  }
}

/** Renders the placeholders of a settings template. */
function render(template, fields) {
  return template.replaceAll(/\{\{([^}|]+)(\|json)?\}\}/g, (_match, name, json) => {
    const value = name.split('.').reduce((current, key) => current?.[key], fields);
    if (value === undefined) {
      return json === undefined ? '' : 'null';
    }
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

/** Returns the listening server; undefined if the address is in use. */
function tryListen(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}

const takenPorts = new Set();

/** Returns a port that is free at an address and that no other call has returned. */
export async function freePort(host) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const server = takenPorts.has(port) ? undefined : await tryListen(host, port);
    if (server !== undefined) {
      takenPorts.add(port);
      await new Promise((resolve) => server.close(resolve));
      return port;
    }
  }
}

/**
 * Sends one request; the result has the status and the body as far as it came, and whether the answer was complete.
 * Status 0 stands for no answer.
 */
export function send({
  host,
  port,
  path: target,
  method = 'POST',
  headers = {},
  body,
  agent,
  timeoutMs = 10_000,
}) {
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let answerHeaders = {};
    const finish = (complete, detail) => {
      clearTimeout(timer);
      resolve({ status, headers: answerHeaders, body: Buffer.concat(chunks).toString(), complete, detail });
    };
    const call = request({ host, port, path: target, method, headers, agent }, (response) => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => finish(response.complete, 'end'));
      response.on('error', (cause) => finish(false, String(cause)));
      response.on('aborted', () => finish(false, 'aborted'));
    });
    const timer = setTimeout(() => {
      call.destroy();
      finish(false, 'timeout');
    }, timeoutMs);
    call.on('error', (cause) => finish(false, String(cause)));
    call.end(body);
  });
}

export { sleep };
