import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startRouter } from '../startRouter.ts';
import { closedAddress, startFake } from './fakes.ts';

test('a taken address fails the start and leaves no other address open (a half-started router)', async (context) => {
  const callerAddress = await closedAddress();
  const taken = await startFake(context, (_request, response) => response.end());
  const identity = {
    routerId: 'r',
    vmId: 'v',
    region: 'nairobi',
    storeRegion: 'nairobi',
    availabilityZone: 'a',
    callerAddress,
    peerAddress: '127.0.0.1:0',
  };
  const settings = { identity, adminAddress: taken, platformAddress: await closedAddress() };
  const rest = { addressOverrides: {}, options: {}, logLevel: 'error' as const };
  await assert.rejects(startRouter({ ...settings, ...rest }), /EADDRINUSE.*free addresses/);
  await assert.rejects(fetch(`http://${callerAddress}/v1/health`));
});
