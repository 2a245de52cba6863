// A link between routers and an engine: a loopback proxy that holds back all bytes, ends and new connections while it
// is cut, and delivers them in order once it has healed, as TCP does after a partition.
import { connect, createServer } from 'node:net';

export class Link {
  isCut = false;
  held = [];

  constructor(target) {
    this.target = target;
  }

  async listen(host) {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.deliver(() => this.open(near)));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const action of this.held.splice(0)) action();
  }

  deliver(action) {
    if (this.isCut) this.held.push(action);
    else action();
  }

  open(near) {
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.on('data', (bytes) => this.deliver(() => to.write(bytes)));
      from.on('end', () => this.deliver(() => to.end()));
      from.on('error', () => this.deliver(() => to.resetAndDestroy()));
    }
  }
}
