import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { request } from 'undici';
import { LoadScope } from '../../engineLoad/types.ts';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { createPeerServer } from '../peerServer.ts';
import { PeerLoads } from '../peerLoads.ts';

const { context } = new RequestRig();
const { board, self } = context;
const server = createPeerServer(context);
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
const { port } = server.address() as AddressInfo;
const peer = { ...self, routerId: 'peer', peerAddress: `127.0.0.1:${port}` };
after(() => {
  server.closeAllConnections();
  server.close();
});

function growFleet(): void {
  for (let index = 0; index < 16; index += 1) {
    const entry = { ...self, routerId: `router-${index}` };
    board.routers.set(entry.routerId, { entry, changedAtMs: 0 });
  }
  const { configuration } = board;
  assert.ok(configuration !== undefined);
  const engine = { slots: 16, kvCapacityTokens: 1_000, tokensPerEvent: 4, maxCacheFollowers: 8 };
  board.configuration = {
    ...configuration,
    services: new Map([...configuration.services].map(([name, service]) => [name, { ...service, engine }])),
  };
}

const message = (senderId: string, loads: readonly number[]) => ({
  scope: LoadScope.Router,
  senderId,
  loads,
});

test('a router that does not share loads answers 400, which counts as no collector', async () => {
  assert.equal(await new PeerLoads(() => undefined).post(peer, message('router-1', [])), undefined);
});

test('a collector returns the sums of all routers but the sender over sockets', async () => {
  growFleet();
  const loads = new PeerLoads(() => undefined);
  assert.deepEqual(await loads.post(peer, message('router-1', [7, 4_000, 2])), []);
  assert.deepEqual(await loads.post(peer, message('router-2', [7, 1_000, 1, 9, 10, 1])), [7, 4_000, 2]);
  assert.deepEqual(await loads.post(peer, message('router-1', [])), [7, 1_000, 1, 9, 10, 1]);
});

test('a collector that is gone is reported as such', async () => {
  const gone = { ...peer, peerAddress: '127.0.0.1:1' };
  assert.equal(await new PeerLoads(() => undefined).post(gone, message('router-1', [])), undefined);
});

for (const body of ['null', '[]', '{}', '{', '', '{"scope":"router","senderId":"x","loads":[1,2]}']) {
  test(`a body of ${body === '' ? 'no bytes' : body} on /loads is rejected and changes nothing`, async () => {
    growFleet();
    const before = board.engineLoad.collected.total();
    const response = await request(`http://127.0.0.1:${port}/loads`, { method: 'POST', body });
    await response.body.dump();
    assert.equal(response.statusCode, 400);
    assert.deepEqual(board.engineLoad.collected.total(), before);
  });
}
