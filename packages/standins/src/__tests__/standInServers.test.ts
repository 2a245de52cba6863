import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import type { RunningServer } from '../common/httpServer.ts';
import { parseSettings } from '../common/readSettings.ts';
import { expectedAnswer, expectedOutputTokens } from '../engine/answerText.ts';
import { startEngine } from '../engine/engineServer.ts';
import { engineSettingsSchema } from '../engine/settings.ts';
import { startLink } from '../link/linkServer.ts';
import { linkSettingsSchema } from '../link/settings.ts';
import { startPlatform } from '../platform/platformServer.ts';
import { platformSettingsSchema } from '../platform/settings.ts';
import { startService } from '../service/serviceServer.ts';
import { serviceSettingsSchema } from '../service/settings.ts';

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.1.9.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.1.9.1:${port}`;
}

async function withServer(server: RunningServer, callback: () => Promise<void>): Promise<void> {
  try {
    await callback();
  } finally {
    await server.close();
  }
}

async function post(address: string, path: string, body: unknown, key = 'key'): Promise<Response> {
  const headers = { 'idempotency-key': key };
  return fetch(`http://${address}${path}`, { method: 'POST', headers, body: JSON.stringify(body) });
}

describe('stand-in servers', () => {
  it('the platform applies a commit whose reply is lost (routers must be able to detect such a write)', async () => {
    const address = await freeAddress();
    const server = await startPlatform(platformSettingsSchema.parse({ address }));
    await withServer(server, async () => {
      const commit = { checks: [{ key: 'k', expectedVersion: 0 }], writes: [{ key: 'k', value: 1 }] };
      await post(address, '/control', { loseReplies: 1 });
      await assert.rejects(post(address, '/table/commit', commit));
      assert.equal((await post(address, '/table/commit', commit)).status, 409);
      const read = await post(address, '/table/read', { keys: ['k', 'missing'] });
      assert.deepEqual(await read.json(), { rows: [{ key: 'k', version: 1, value: 1 }] });
      await post(address, '/control', { down: true });
      await assert.rejects(post(address, '/table/read', { keys: [] }));
    });
  });

  it('the engine streams and resumes an answer and counts one start (a second start would be billed)', async () => {
    const address = await freeAddress();
    const settings = engineSettingsSchema.parse({ address, tokenIntervalMs: 1 });
    await withServer(await startEngine(settings), async () => {
      const messages = [{ role: 'user', content: 'hello' }];
      const body = { requestId: 'org/r 1', model: 'm', messages, maxOutputTokens: 8, priority: 1 };
      const textOf = async (answer: Response) =>
        [...(await answer.text()).matchAll(/"text":"([^"]*)"/g)].map((match) => match[1]).join('');
      const fullAnswer = expectedAnswer('org/r 1', expectedOutputTokens('org/r 1', 8));
      assert.equal(await textOf(await post(address, '/v1/streams', body)), fullAnswer);
      assert.equal((await post(address, '/v1/streams', body)).status, 409);
      const resumed = await fetch(`http://${address}/v1/streams/${encodeURIComponent('org/r 1')}?from=2`);
      assert.equal(await textOf(resumed), fullAnswer.split(' ').slice(2).join(' '));
      const audit = (await (await fetch(`http://${address}/audit`)).json()) as {
        requests: Record<string, { starts: number; resumes: number; finished: boolean }>;
      };
      const { starts, resumes, finished } = audit.requests['org/r 1'] ?? {};
      assert.deepEqual({ starts, resumes, finished }, { starts: 1, resumes: 1, finished: true });
    });
  });

  for (const honoursKey of [true, false]) {
    it(`the service with honoursKey ${honoursKey} counts its executions (a duplicate order must show)`, async () => {
      const address = await freeAddress();
      await withServer(await startService(serviceSettingsSchema.parse({ address, honoursKey })), async () => {
        await post(address, '/orders', {});
        await post(address, '/orders', {});
        const audit = await (await fetch(`http://${address}/audit`)).json();
        assert.deepEqual(audit, { executions: { key: honoursKey ? 1 : 2 } });
      });
    });
  }

  it('a cut link rejects traffic and a restored one relays it', async () => {
    const [target, listen, controlAddress] = [await freeAddress(), await freeAddress(), await freeAddress()];
    const service = await startService(serviceSettingsSchema.parse({ address: target }));
    const relays = [{ listen, target }];
    const link = await startLink(linkSettingsSchema.parse({ controlAddress, delayMs: 2, relays }));
    await withServer(service, () =>
      withServer(link, async () => {
        assert.equal((await post(listen, '/orders', {})).status, 200);
        await post(controlAddress, '/control', { cut: true });
        await assert.rejects(post(listen, '/orders', {}));
        await post(controlAddress, '/control', { cut: false });
        assert.equal((await post(listen, '/orders', {})).status, 200);
      }),
    );
  });

  it('settings errors name the file, the field and the expected value', () => {
    const parsed = parseSettings('engine.yaml', 'address: nowhere\nmaxRunning: 0\n', engineSettingsSchema);
    const message = parsed._unsafeUnwrapErr();
    assert.match(message, /engine\.yaml: field "address": expected IP:port/);
    assert.match(message, /engine\.yaml: field "maxRunning": expected a number of at least 1/);
  });
});
