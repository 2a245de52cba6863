import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startRouter } from '../startRouter.ts';
import { unusedAddress, startFakeServer } from './fakes.ts';

// Guards against a router that is only partly started.
test('startup fails on an address in use and leaves no other address open', async (context) => {
  const callerAddress = await unusedAddress();
  const taken = await startFakeServer(context, (_request, response) => response.end());
  const identity = {
    routerId: 'r',
    vmId: 'v',
    region: 'nairobi',
    storeRegion: 'nairobi',
    availabilityZone: 'a',
    callerAddress,
    peerAddress: '127.0.0.1:0',
  };
  const settings = { identity, adminAddress: taken, platformAddress: await unusedAddress() };
  const rest = { addressOverrides: {}, options: {}, logLevel: 'error' as const };
  await assert.rejects(startRouter({ ...settings, ...rest }), /EADDRINUSE.*free addresses/);
  await assert.rejects(fetch(`http://${callerAddress}/v1/health`));
});
