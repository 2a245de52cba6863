import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EffectKind } from '../../types/effects.ts';
import { CoreDriver } from './coreDriver.ts';
import { TableFake } from './tableFake.ts';

interface AdminAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

function startDriver(table = new TableFake()): CoreDriver {
  const driver = new CoreDriver({ table });
  table.put('operator/k1', { operatorId: 'ana', sections: ['classes', 'rules'] });
  table.put('operator/k2', { operatorId: 'ben', sections: ['classes'] });
  // The first step writes the router row, so that the next commit is the one under test.
  driver.step();
  return driver;
}

function sendRequest(driver: CoreDriver, request: Parameters<CoreDriver['admin']>[0]): AdminAnswer {
  const reply = driver.admin(request).find((effect) => effect.kind === EffectKind.AdminReply);
  assert.ok(reply?.kind === EffectKind.AdminReply);
  return { status: reply.status, body: JSON.parse(reply.body) as AdminAnswer['body'] };
}

function sendPut(
  driver: CoreDriver,
  section: string,
  baseVersion: number,
  changeId: string,
  key = 'k1',
): AdminAnswer {
  return sendRequest(driver, {
    method: 'PUT',
    path: `/v1/config/sections/${section}`,
    query: { baseVersion: String(baseVersion), changeId },
    body: `text of ${changeId}`,
    keySha256: key,
  });
}

// Guards against a change that silently overwrites another operator's change.
test('of two concurrent changes to a section, one is accepted and the other refused with details of the first', () => {
  const table = new TableFake();
  const [first, second] = [startDriver(table), startDriver(table)];
  table.beforeCommit = () => {
    assert.equal(sendPut(second, 'classes', 0, 'b', 'k2').status, 200);
  };
  const loser = sendPut(first, 'classes', 0, 'a');
  assert.equal(loser.status, 409);
  assert.deepEqual([loser.body.version, loser.body.changedBy, loser.body.changedAtMs], [1, 'ben', 0]);
  assert.match(String(loser.body.detail), /version 1, changed by ben at 1970-01-01T00:00:00/);
  assert.equal(loser.body.verdict, 'did-not-run');
});

// Guards against false conflicts between teams that own different sections.
test('concurrent changes to different sections are both accepted', () => {
  const table = new TableFake();
  const [first, second] = [startDriver(table), startDriver(table)];
  table.beforeCommit = () => {
    assert.equal(sendPut(second, 'classes', 0, 'b', 'k2').status, 200);
  };
  assert.deepEqual(sendPut(first, 'rules', 0, 'a'), { status: 200, body: { revision: 2, version: 1 } });
  assert.equal(first.core.board.configuration?.stored.sections.length, 2);
  assert.ok(table.rows.has('config/history/rules/1'));
});

// Guards against a change that is applied twice, or reported as a conflict with itself.
test('a retry after a lost reply and a repeated change identifier return the first result', () => {
  const driver = startDriver();
  driver.table.loseReplies = 1;
  const first = sendPut(driver, 'classes', 0, 'a');
  assert.deepEqual(first, { status: 200, body: { revision: 1, version: 1 } });
  assert.equal(sendPut(driver, 'classes', 1, 'b').status, 200);
  assert.deepEqual(sendPut(driver, 'classes', 0, 'a'), first);
  const reused = sendPut(driver, 'rules', 0, 'a');
  assert.deepEqual([reused.status, reused.body.reason], [409, 'change-identifier-in-use']);
});

// Guards against reporting that a change did not run although its commit may still be applied.
test('a change is reported as possibly run if its commit and all later reads get no reply', () => {
  const driver = startDriver();
  driver.table.loseReplies = 1;
  driver.table.beforeCommit = () => {
    driver.table.downAfterCommit = true;
  };
  const answer = sendPut(driver, 'classes', 0, 'a');
  assert.deepEqual([answer.status, answer.body.verdict], [503, 'may-have-run']);
  driver.table.down = false;
  assert.equal(sendPut(driver, 'classes', 0, 'a').status, 200);
  driver.table.down = true;
  assert.equal(sendPut(driver, 'classes', 1, 'b').body.verdict, 'did-not-run');
});

// Guards against activating an invalid document, and against operators changing sections they do not own.
test('invalid documents, sections of other operators, unknown keys and malformed identifiers are refused', () => {
  const driver = startDriver();
  const path = '/v1/config/sections/classes';
  const query = { baseVersion: '0', changeId: 'a' };
  const invalid = sendRequest(driver, { method: 'PUT', path, query, body: 'broken' });
  assert.equal(invalid.status, 422);
  assert.equal((invalid.body.faults as { line: number }[])[0]?.line, 1);
  assert.equal(sendPut(driver, 'rules', 0, 'a', 'k2').status, 403);
  assert.equal(sendPut(driver, 'classes', 0, 'a', 'k9').status, 401);
  assert.equal(sendPut(driver, 'classes', 0, 'a/b').status, 400);
  assert.ok(!driver.table.rows.has('config/revision'));
});

// Guards against a status that cannot be read while the store is down.
test('budgets are shown, and status and configuration even while the store is down', () => {
  const driver = startDriver();
  sendPut(driver, 'classes', 0, 'a');
  driver.table.put('budget/o', { fundedMicros: 9 });
  driver.table.put('share/o/i7', { grantedMicros: 4 });
  const shares = [{ incarnationId: 'i7', grantedMicros: 4 }];
  assert.deepEqual(sendRequest(driver, { path: '/v1/budgets/o' }).body, {
    organisationId: 'o',
    fundedMicros: 9,
    shares,
  });
  driver.table.down = true;
  assert.equal(sendRequest(driver, { path: '/v1/status' }).body.revision, 1);
  assert.equal(sendRequest(driver, { path: '/v1/config' }).body.revision, 1);
  assert.equal(sendRequest(driver, { path: '/v1/budgets/o' }).status, 503);
});
