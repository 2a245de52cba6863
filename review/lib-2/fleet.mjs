// Starts routers with the run command and the settings template of deploy/, on loopback addresses, and ends them.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** 0 plays the case without its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

const net2 = 1 + Math.floor(Math.random() * 250);
const net3 = 1 + Math.floor(Math.random() * 250);
/** A loopback host of this run; the fixed ports of the deploy file are free there. */
export const host = (index) => `127.${net2}.${net3}.${index}`;

export async function freePort(hostName) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, hostName, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const children = new Set();

function track(child) {
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
  rmSync(folder, { recursive: true, force: true });
});
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(COULD_NOT_RUN));

const BOUNDS = {
  'contact-ms': 3000,
  'drain-ms': 2500,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2500,
  'retry-ratio': 0.2,
  'retry-window-s': 10,
  'retry-slack': 58,
  ttl_max_s: 5,
};

function settingsFields(index, store) {
  const ip = host(index);
  return {
    'node-name': `edge-golfo-a-${index}`,
    zone: 'golfo-a',
    region: 'golfo',
    zones: { 'golfo-a': 'golfo', 'pacifico-a': 'pacifico', 'golfo-b': 'golfo' },
    ip,
    'internal-ports': [7340, 7355],
    'heartbeat-ms': 1200,
    listen: { frontend: `${ip}:8227`, ready: `${ip}:8220`, directory: `${ip}:8224` },
    limits: { 'memory-mb': 350, 'max-fds': 4100 },
    bounds: BOUNDS,
    platform: { address: store.address, 'writes-per-s': 800, 'reads-per-s': 2000 },
  };
}

/** Fills in a template as DEPLOY.md describes it; only the placeholders that deploy/router.yaml.template uses. */
function render(template, fields) {
  return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name.split('.').reduce((at, key) => at?.[key], fields);
    return value === undefined ? '' : json === undefined ? String(value) : JSON.stringify(value);
  });
}

/** One router VM: its process can be stopped, continued, ended and started again. */
export class Router {
  constructor(index, store, logFile) {
    this.fields = settingsFields(index, store);
    this.name = this.fields['node-name'];
    this.logFile = logFile;
  }

  get address() {
    return this.fields.listen.frontend;
  }

  start() {
    const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const template = readFileSync(path.join(ROOT, 'deploy/router.yaml.template'), 'utf8');
    const file = path.join(folder, `${this.name}.yaml`);
    writeFileSync(file, render(template, this.fields));
    const [program, ...args] = run.split(' ');
    this.child = track(
      spawn(program === 'node' ? process.execPath : program, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, PIMENTOSTALL_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      }),
    );
    this.exited = new Promise((resolve) =>
      this.child.once('exit', (code, signal) => resolve({ code, signal })),
    );
    if (this.logFile !== undefined) {
      const log = createWriteStream(this.logFile, { flags: 'a' });
      this.child.stdout.pipe(log, { end: false });
      this.child.stderr.pipe(log, { end: false });
    } else {
      this.child.stdout.resume();
      this.child.stderr.resume();
    }
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    try {
      const response = await fetch(`http://${this.fields.listen.ready}/api/readyz`);
      return response.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady() {
    for (let tries = 0; tries < 200; tries += 1) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new Error(`${this.name} did not become ready`);
  }
}

/** Starts a stand-in of lib-2 as a process of its own; each line that it prints is a JSON record. */
export function startProgram(file, options, onRecord) {
  const child = track(
    spawn(process.execPath, [path.join(ROOT, 'review/lib-2', file), JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    }),
  );
  let rest = '';
  child.stdout.on('data', (chunk) => {
    rest += chunk.toString('utf8');
    const lines = rest.split('\n');
    rest = lines.pop();
    for (const line of lines) onRecord(JSON.parse(line));
  });
  return child;
}

/** Collects what was sent, answered and run, and writes it to record.txt beside the script. */
export class Record {
  lines = [];
  startedAtMs = performance.now();

  constructor(folderUrl) {
    this.file = path.join(path.dirname(fileURLToPath(folderUrl)), 'record.txt');
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  finish(code, verdict) {
    this.add(verdict);
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  }
}

/** Runs a case; an unexpected error means that it could not run. */
export async function runCase(folderUrl, play) {
  const record = new Record(folderUrl);
  try {
    const { broken, verdict } = await play(record);
    record.finish(broken ? BROKEN : HELD, `${broken ? 'BROKEN' : 'held'}: ${verdict}`);
  } catch (cause) {
    record.finish(COULD_NOT_RUN, `could not run: ${cause.stack ?? cause}`);
  }
}
