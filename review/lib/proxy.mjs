// TCP proxy that stands for the way between clients and a machine: everything passes with the same delay each way.
import { connect, createServer } from 'node:net';

export async function startProxy(host, target, delayMs) {
  const [targetHost, targetPort] = target.split(':');
  const sockets = new Set();
  const track = (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.setNoDelay(true);
  };
  const server = createServer({ allowHalfOpen: true }, (client) => {
    track(client);
    client.pause();
    setTimeout(() => {
      const machine = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true });
      track(machine);
      relay(client, machine, delayMs);
      relay(machine, client, delayMs);
      client.resume();
    }, delayMs);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
}

function relay(from, to, delayMs) {
  const later = (action) => setTimeout(action, delayMs);
  from.on('data', (data) => later(() => to.write(data)));
  from.on('end', () => later(() => to.end()));
  from.on('close', (failed) => {
    if (failed) {
      later(() => to.resetAndDestroy());
    }
  });
}
