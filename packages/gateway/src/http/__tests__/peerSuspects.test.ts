import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { request } from 'undici';
import type { SuspectReport } from '../../quarantine/types.ts';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { createPeerServer } from '../peerServer.ts';
import { PeerSuspects } from '../peerSuspects.ts';

const { context } = new RequestRig();
const server = createPeerServer(context);
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
const { port } = server.address() as AddressInfo;
const peer = { ...context.self, routerId: 'peer', peerAddress: `127.0.0.1:${port}` };
after(() => {
  server.closeAllConnections();
  server.close();
});

const REPORT: SuspectReport = {
  partId: 'subject',
  crashes: {
    'engine-1': { ageMs: 30, deeperPartIds: [] },
    'engine-2': { ageMs: 20, deeperPartIds: [] },
    'engine-3': { ageMs: 10, deeperPartIds: [] },
  },
  clearedAgeMs: undefined,
  probation: { revision: 4, probes: 2, dueInMs: 60_000 },
};

test('routers exchange what they know about suspects over sockets', async () => {
  const port = new PeerSuspects(() => undefined);
  assert.deepEqual(await port.exchange(peer, { reports: [], wantsReply: true }), []);
  assert.deepEqual(await port.exchange(peer, { reports: [REPORT], wantsReply: false }), []);
  const reply = await port.exchange(peer, { reports: [], wantsReply: true });
  assert.deepEqual(
    reply?.map(({ partId, probation }) => [partId, probation?.revision]),
    [['subject', 4]],
  );
  assert.equal(context.board.quarantine.table.isQuarantined('subject'), true);
});

test('a peer that does not reply is reported as such', async () => {
  const port = new PeerSuspects(() => undefined);
  const gone = { ...peer, peerAddress: '127.0.0.1:1' };
  assert.equal(await port.exchange(gone, { reports: [], wantsReply: true }), undefined);
});

for (const body of ['null', '[]', '{}', '{', '', '{"reports":1}', '{"reports":[null,{"partId":1}]}']) {
  test(`a body of ${body === '' ? 'no bytes' : body} on /suspects does not end the process and changes nothing`, async () => {
    const before = JSON.stringify(context.board.quarantine.table.reports(0).map(({ partId }) => partId));
    const response = await request(`http://127.0.0.1:${port}/suspects`, { method: 'POST', body });
    await response.body.dump();
    const hasList = body.startsWith('{"reports":[');
    assert.equal(response.statusCode, hasList ? 200 : 400);
    assert.equal(
      JSON.stringify(context.board.quarantine.table.reports(0).map(({ partId }) => partId)),
      before,
    );
  });
}
