/**
 * A link between routers and one engine that can be cut. It behaves as TCP does: bytes and ends that are sent during a cut
 * wait for the next time at which the sender's kernel repeats them (200 ms after the first loss, then after twice the time
 * each), on each connection for itself. Connections that are opened during a cut fail, and so do those to a process that
 * does not listen.
 */
import { connect, createServer } from 'node:net';

const FIRST_REPEAT_MS = 200;

export class Link {
  constructor(host, port, engine) {
    Object.assign(this, { host, port, engine, isCut: false, isEngineUp: true, server: undefined });
    this.flows = new Set();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async open() {
    if (this.server !== undefined || this.isCut || !this.isEngineUp) {
      return;
    }
    this.server = createServer({ allowHalfOpen: true }, (caller) => {
      const engine = connect({ ...this.engine, allowHalfOpen: true });
      new Flow(this, caller, engine);
      new Flow(this, engine, caller);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  #closeListener() {
    this.server?.close();
    this.server = undefined;
  }

  cut() {
    this.isCut = true;
    this.#closeListener();
  }

  async heal() {
    this.isCut = false;
    for (const flow of this.flows) {
      flow.scheduleRepeat();
    }
    await this.open();
  }

  async setEngineUp(isUp) {
    this.isEngineUp = isUp;
    if (isUp) {
      await this.open();
    } else {
      this.#closeListener();
    }
  }

  close() {
    this.#closeListener();
    for (const flow of this.flows) {
      flow.destroy();
    }
  }
}

/** One direction of a connection. */
class Flow {
  constructor(link, from, to) {
    Object.assign(this, { link, from, to, lostAtMs: undefined, waiting: [] });
    link.flows.add(this);
    from.on('data', (data) => this.pass(() => to.write(data)));
    from.on('end', () => this.pass(() => to.end()));
    from.on('error', () => this.pass(() => to.destroy()));
    from.on('close', () => {
      if (this.waiting.length === 0) {
        link.flows.delete(this);
      }
    });
  }

  pass(action) {
    if (this.link.isCut) {
      this.lostAtMs ??= performance.now();
    }
    if (this.lostAtMs === undefined) {
      action();
    } else {
      this.waiting.push(action);
    }
  }

  scheduleRepeat() {
    if (this.lostAtMs === undefined) {
      return;
    }
    const sinceMs = performance.now() - this.lostAtMs;
    let repeatMs = FIRST_REPEAT_MS;
    while (repeatMs < sinceMs) {
      repeatMs = 2 * repeatMs + FIRST_REPEAT_MS;
    }
    setTimeout(() => {
      this.lostAtMs = undefined;
      for (const action of this.waiting.splice(0)) {
        action();
      }
    }, repeatMs - sinceMs);
  }

  destroy() {
    this.from.destroy();
    this.to.destroy();
  }
}
