import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { request } from 'undici';
import { RequestRig } from '../../requests/__tests__/requestRig.ts';
import { createPeerServer } from '../peerServer.ts';

/** Ends a request that is never answered. */
const RESPONSE_TIMEOUT_MS = 5_000;

const ORGANISATION = 'school';

const rig = new RequestRig();
const { board } = rig.context;
board.configuration = board.configuration && {
  ...board.configuration,
  organisations: new Map([
    [
      ORGANISATION,
      { name: ORGANISATION, keys: [], priority: undefined, tokenBudget: 1_000, allowedRegions: [] },
    ],
  ]),
};
const server = createPeerServer({
  ...rig.context,
  ledgerStore: { commit: () => new Promise(() => undefined) },
});
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
const { port } = server.address() as AddressInfo;
after(() => {
  server.closeAllConnections();
  server.close();
});

for (const path of ['/loans', '/loans/cancel', '/loans/return']) {
  for (const body of ['null', '1', '"loan"', '[]', '{}', '{', '']) {
    test(`a body of ${body === '' ? 'no bytes' : body} on ${path} is rejected and does not end the process`, async () => {
      const response = await request(`http://127.0.0.1:${port}${path}`, {
        method: 'POST',
        body,
        headersTimeout: RESPONSE_TIMEOUT_MS,
      });
      assert.equal(response.statusCode, 400);
      await response.body.dump();
    });
  }
}

test('a cancellation that arrives before its loan request is remembered, so that the loan is not given', async () => {
  assert.equal(board.accounts.size, 0);
  const response = await request(`http://127.0.0.1:${port}/loans/cancel`, {
    method: 'POST',
    body: JSON.stringify({ loanId: 'loan-1', organisationName: ORGANISATION }),
  });
  await response.body.dump();
  assert.equal(board.accounts.get(ORGANISATION)?.givenLoans.get('loan-1'), 0);
});
