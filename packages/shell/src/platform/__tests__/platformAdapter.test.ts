import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { TableOutcome } from '@pimentostall/core';
import { EffectKind, EventKind, TableOutcomeKind } from '@pimentostall/core';
import { unusedAddress, RecordingSink, startFakeServer, startFakeTcpServer } from '../../__tests__/fakes.ts';
import { DEFAULT_SHELL_OPTIONS } from '../../options.ts';
import { PlatformAdapter } from '../platformAdapter.ts';

async function commit(context: TestContext, address: string): Promise<TableOutcome> {
  const sink = new RecordingSink();
  const adapter = new PlatformAdapter(sink, DEFAULT_SHELL_OPTIONS, address);
  context.after(() => adapter.close());
  const transaction = { checks: [], writes: [] };
  adapter.commit({ kind: EffectKind.TableCommit, callId: 'c', transaction });
  return (await sink.next(EventKind.TableReply)).outcome;
}

const startRespondingServer = (context: TestContext, status: number, body: string): Promise<string> =>
  startFakeServer(context, (_request, response) => {
    response.writeHead(status).end(body);
  });

test('a valid response determines the outcome of a commit', async (context) => {
  const committed = await startRespondingServer(context, 200, '{"committed":true}');
  assert.deepEqual(await commit(context, committed), { kind: TableOutcomeKind.Committed });
  const rows = [{ key: 'k', version: 2, value: 1 }];
  const conflicting = await startRespondingServer(context, 409, JSON.stringify({ rows }));
  assert.deepEqual(await commit(context, conflicting), { kind: TableOutcomeKind.Conflict, rows });
});

// Guards against money that is written twice or lost.
test('a commit without a valid response has an unknown outcome', async (context) => {
  const unknown = { kind: TableOutcomeKind.Unknown };
  const broken = await startFakeTcpServer(context, (socket) => {
    socket.once('data', () => socket.destroy());
  });
  assert.deepEqual(await commit(context, broken), unknown);
  assert.deepEqual(await commit(context, await unusedAddress()), unknown);
  for (const [status, body] of [
    [500, '{}'],
    [200, 'null'],
    [200, '{'],
    [409, '{"rows":[{}]}'],
  ] as const) {
    assert.deepEqual(await commit(context, await startRespondingServer(context, status, body)), unknown);
  }
});
