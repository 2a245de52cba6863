import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TableOutcomeKind } from '@pimentostall/core';
import { TableStore } from '../tableStore.ts';

describe('TableStore', () => {
  it('writes nothing if any check fails (a partial commit would create money)', () => {
    const table = new TableStore();
    table.commit({ checks: [], writes: [{ key: 'a', value: 1 }] });
    const outcome = table.commit({
      checks: [
        { key: 'a', expectedVersion: 1 },
        { key: 'b', expectedVersion: 3 },
      ],
      writes: [
        { key: 'a', value: 2 },
        { key: 'c', value: 3 },
      ],
    });
    const current = { key: 'a', version: 1, value: 1 };
    assert.deepEqual(outcome, { kind: TableOutcomeKind.Conflict, rows: [current] });
    assert.deepEqual(table.scan(''), [current]);
  });

  it('rejects the second of two inserts with expected version 0 (a claim could otherwise run twice)', () => {
    const table = new TableStore();
    const insert = { checks: [{ key: 'k', expectedVersion: 0 }], writes: [{ key: 'k', value: 1 }] };
    assert.equal(table.commit(insert).kind, TableOutcomeKind.Committed);
    assert.equal(table.commit(insert).kind, TableOutcomeKind.Conflict);
    assert.deepEqual(table.counts, { reads: 0, scans: 0, commits: 1, conflicts: 1 });
  });

  it('increments versions, deletes rows and scans by prefix in key order', () => {
    const table = new TableStore();
    for (const key of ['p/b', 'q/a', 'p/a', 'p/a']) {
      table.commit({ checks: [], writes: [{ key, value: key }] });
    }
    table.commit({ checks: [], writes: [{ key: 'p/b', value: undefined }] });
    assert.deepEqual(table.scan('p/'), [{ key: 'p/a', version: 2, value: 'p/a' }]);
    assert.deepEqual(table.read(['p/b', 'q/a']), [{ key: 'q/a', version: 1, value: 'q/a' }]);
  });

  it('copies stored values (a shared object could change without a commit)', () => {
    const table = new TableStore();
    const value = { amount: 1 };
    table.commit({ checks: [], writes: [{ key: 'k', value }] });
    value.amount = 2;
    assert.deepEqual(table.read(['k'])[0]?.value, { amount: 1 });
  });
});
