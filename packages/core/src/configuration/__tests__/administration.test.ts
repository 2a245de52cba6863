import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EffectKind } from '../../types/effects.ts';
import { CoreDriver } from './coreDriver.ts';
import { TableFake } from './tableFake.ts';

interface Answer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

function start(table = new TableFake()): CoreDriver {
  const driver = new CoreDriver({ table });
  table.put('operator/k1', { operatorId: 'ana', sections: ['classes', 'rules'] });
  table.put('operator/k2', { operatorId: 'ben', sections: ['classes'] });
  // The router row is written first, so that the next commit is the one of the test.
  driver.step();
  return driver;
}

function ask(driver: CoreDriver, request: Parameters<CoreDriver['admin']>[0]): Answer {
  const reply = driver.admin(request).find((effect) => effect.kind === EffectKind.AdminReply);
  assert.ok(reply?.kind === EffectKind.AdminReply);
  return { status: reply.status, body: JSON.parse(reply.body) as Answer['body'] };
}

function put(driver: CoreDriver, section: string, baseVersion: number, changeId: string, key = 'k1'): Answer {
  return ask(driver, {
    method: 'PUT',
    path: `/v1/config/sections/${section}`,
    query: { baseVersion: String(baseVersion), changeId },
    body: `text of ${changeId}`,
    keySha256: key,
  });
}

// Guards against a change that silently overwrites another operator's.
test('of two racing changes to one section, one is accepted and the other names the winner', () => {
  const table = new TableFake();
  const [first, second] = [start(table), start(table)];
  table.beforeCommit = () => {
    assert.equal(put(second, 'classes', 0, 'b', 'k2').status, 200);
  };
  const loser = put(first, 'classes', 0, 'a');
  assert.equal(loser.status, 409);
  assert.deepEqual([loser.body.version, loser.body.changedBy, loser.body.changedAtMs], [1, 'ben', 0]);
  assert.match(String(loser.body.detail), /version 1, changed by ben at 1970-01-01T00:00:00/);
  assert.equal(loser.body.verdict, 'did-not-run');
});

// Guards against false conflicts between teams that own different sections.
test('racing changes to different sections are both accepted', () => {
  const table = new TableFake();
  const [first, second] = [start(table), start(table)];
  table.beforeCommit = () => {
    assert.equal(put(second, 'classes', 0, 'b', 'k2').status, 200);
  };
  assert.deepEqual(put(first, 'rules', 0, 'a'), { status: 200, body: { revision: 2, version: 1 } });
  assert.equal(first.core.board.configuration?.stored.sections.length, 2);
  assert.ok(table.rows.has('config/history/rules/1'));
});

// Guards against a change that is applied twice, or reported as a conflict with itself.
test('a lost answer and a repeated change identifier give the first answer', () => {
  const driver = start();
  driver.table.loseReplies = 1;
  const first = put(driver, 'classes', 0, 'a');
  assert.deepEqual(first, { status: 200, body: { revision: 1, version: 1 } });
  assert.equal(put(driver, 'classes', 1, 'b').status, 200);
  assert.deepEqual(put(driver, 'classes', 0, 'a'), first);
  const reused = put(driver, 'rules', 0, 'a');
  assert.deepEqual([reused.status, reused.body.reason], [409, 'change-identifier-in-use']);
});

// Guards against "did not run" said of a commit without an answer that may still take effect.
test('a change whose commit and every later read got no answer may have run', () => {
  const driver = start();
  driver.table.loseReplies = 1;
  driver.table.beforeCommit = () => {
    driver.table.downAfterCommit = true;
  };
  const answer = put(driver, 'classes', 0, 'a');
  assert.deepEqual([answer.status, answer.body.verdict], [503, 'may-have-run']);
  driver.table.down = false;
  assert.equal(put(driver, 'classes', 0, 'a').status, 200);
  driver.table.down = true;
  assert.equal(put(driver, 'classes', 1, 'b').body.verdict, 'did-not-run');
});

// Guards against an invalid document in force, and against operators outside their sections.
test('invalid documents, foreign sections and unknown keys are refused', () => {
  const driver = start();
  const path = '/v1/config/sections/classes';
  const query = { baseVersion: '0', changeId: 'a' };
  const invalid = ask(driver, { method: 'PUT', path, query, body: 'broken' });
  assert.equal(invalid.status, 422);
  assert.equal((invalid.body.faults as { line: number }[])[0]?.line, 1);
  assert.equal(put(driver, 'rules', 0, 'a', 'k2').status, 403);
  assert.equal(put(driver, 'classes', 0, 'a', 'k9').status, 401);
  assert.equal(put(driver, 'classes', 0, 'a/b').status, 400);
  assert.ok(!driver.table.rows.has('config/revision'));
});

// Guards against a status that is out of reach while the store is down.
test('status, configuration and budgets are shown', () => {
  const driver = start();
  put(driver, 'classes', 0, 'a');
  driver.table.put('budget/o', { fundedMicros: 9 });
  driver.table.put('share/o/i7', { grantedMicros: 4 });
  const shares = [{ incarnationId: 'i7', grantedMicros: 4 }];
  assert.deepEqual(ask(driver, { path: '/v1/budgets/o' }).body, {
    organisationId: 'o',
    fundedMicros: 9,
    shares,
  });
  driver.table.down = true;
  assert.equal(ask(driver, { path: '/v1/status' }).body.revision, 1);
  assert.equal(ask(driver, { path: '/v1/config' }).body.revision, 1);
  assert.equal(ask(driver, { path: '/v1/budgets/o' }).status, 503);
});
