import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_QUARANTINE } from '../options.ts';
import { PartChange, SuspectTable } from '../suspectTable.ts';

const { quarantineMs, quarantineGrowth, inconclusiveProbeMs, clearanceMs } = DEFAULT_QUARANTINE;
const START_MS = 100_000;

function createTable(): SuspectTable {
  return new SuspectTable(DEFAULT_QUARANTINE);
}

/** Ends one engine after the other with requests that hold these parts. */
function crashEngines(
  table: SuspectTable,
  partIds: readonly string[],
  count: number,
  firstAtMs = START_MS,
): void {
  for (let index = 0; index < count; index += 1) {
    table.recordCrash(`engine-${firstAtMs}-${index}`, partIds, firstAtMs + index * 100);
  }
}

test('a part is withheld once three engines have ended with it', () => {
  const table = createTable();
  crashEngines(table, ['preamble', 'subject'], 2);
  assert.deepEqual(table.check(['preamble', 'subject'], START_MS + 200), { kind: 'allowed' });
  crashEngines(table, ['preamble', 'subject'], 1, START_MS + 300);
  assert.equal(table.check(['preamble', 'subject'], START_MS + 301).kind, 'withheld');
});

test('one engine that ends with many requests counts once', () => {
  const table = createTable();
  for (let index = 0; index < 10; index += 1) {
    table.recordCrash('engine-1', ['subject'], START_MS + index);
  }
  assert.equal(table.crashCount(['subject']), 1);
});

test('a first part that sound requests share is not withheld for a deeper part that explains the crashes', () => {
  const table = createTable();
  crashEngines(table, ['preamble', 'subject'], 5);
  table.recordCrash('engine-x', ['preamble', 'bystander'], START_MS + 1_000);
  assert.deepEqual(table.check(['preamble', 'other'], START_MS + 1_001), { kind: 'allowed' });
  assert.equal(table.check(['preamble', 'subject'], START_MS + 1_001).kind, 'withheld');
});

test('a first part that crashes engines is withheld although its requests differ in their deeper parts', () => {
  const table = createTable();
  for (let index = 0; index < 4; index += 1) {
    table.recordCrash(`engine-${index}`, ['preamble', `subject-${index}`], START_MS + index);
  }
  assert.equal(table.check(['preamble', 'new'], START_MS + 10).kind, 'withheld');
});

test('a first part is withheld once the deeper part that explained its crashes is cleared', () => {
  const table = createTable();
  crashEngines(table, ['preamble', 'subject'], 3);
  const changes = table.recordStart(['subject'], START_MS + 5_000, START_MS + 5_200);
  assert.deepEqual(changes, [
    { partId: 'subject', change: PartChange.Released },
    { partId: 'preamble', change: PartChange.Quarantined },
  ]);
});

test('engines that end together do not put a part under quarantine that answers are begun on', () => {
  const table = createTable();
  table.recordStart(['preamble'], START_MS - clearanceMs / 2, START_MS);
  crashEngines(table, ['preamble'], 4);
  assert.deepEqual(table.check(['preamble'], START_MS + 400), { kind: 'allowed' });
});

test('an answer that began long before the crashes does not clear a part', () => {
  const table = createTable();
  table.recordStart(['subject'], START_MS - clearanceMs - 1_000, START_MS);
  crashEngines(table, ['subject'], 3);
  assert.equal(table.check(['subject'], START_MS + 300).kind, 'withheld');
});

test('the crashes that all routers together saw count', () => {
  const [first, second] = [createTable(), createTable()];
  crashEngines(first, ['subject'], 2);
  second.recordCrash('engine-other', ['subject'], START_MS + 200);
  const changes = first.reports(START_MS + 300).flatMap((report) => second.merge(report, START_MS + 300));
  assert.deepEqual(changes, [{ partId: 'subject', change: PartChange.Quarantined }]);
});

test('a report that tells nothing new causes no news, so that news comes to rest', () => {
  const [first, second] = [createTable(), createTable()];
  crashEngines(first, ['preamble', 'subject'], 3);
  const reports = first.reports(START_MS + 300);
  assert.notEqual(reports.flatMap((report) => second.merge(report, START_MS + 300)).length, 0);
  assert.equal(reports.flatMap((report) => second.merge(report, START_MS + 310)).length, 0);
  assert.equal(
    second.reports(START_MS + 320).flatMap((report) => first.merge(report, START_MS + 320)).length,
    0,
  );
});

test('a router that began an answer on a part refutes the crashes that another router reports', () => {
  const [reporter, witness] = [createTable(), createTable()];
  witness.recordStart(['preamble'], START_MS + 500, START_MS + 700);
  crashEngines(reporter, ['preamble'], 2);
  const atMs = START_MS + 800;
  assert.equal(reporter.reports(atMs).flatMap((report) => witness.merge(report, atMs)).length, 1);
  for (const report of witness.reports(atMs)) {
    reporter.merge(report, atMs);
  }
  assert.equal(reporter.crashCount(['preamble']), 0);
});

test('a clearance that arrives before the crashes that it clears holds', () => {
  const [witness, late, reporter] = [createTable(), createTable(), createTable()];
  crashEngines(reporter, ['subject'], 3);
  const reports = reporter.reports(START_MS + 300);
  for (const report of reports) {
    witness.merge(report, START_MS + 300);
  }
  witness.recordStart(['subject'], START_MS + 400, START_MS + 700);
  for (const report of [...witness.reports(START_MS + 700), ...reports]) {
    late.merge(report, START_MS + 700);
  }
  assert.deepEqual(late.check(['subject'], START_MS + 701), { kind: 'allowed' });
});

test('at most three requests with a part that goes on crashing engines reach them in two hours of quarantine', () => {
  const table = createTable();
  crashEngines(table, ['subject'], 3);
  let probes = 0;
  for (let nowMs = START_MS + 300; nowMs < START_MS + 7_200_000; nowMs += 1_000) {
    if (table.check(['subject'], nowMs).kind === 'probe-due') {
      probes += 1;
      const probe = table.startProbe('subject', nowMs);
      table.recordCrash(`engine-${nowMs}`, ['subject'], nowMs + 300);
      table.endProbe(probe, nowMs + 400);
    }
  }
  assert.ok(probes <= 3, `${probes} probes`);
});

test('a wrong suspicion ends with the first probe', () => {
  const table = createTable();
  crashEngines(table, ['subject'], 3);
  const dueAtMs = START_MS + 200 + quarantineMs;
  assert.equal(table.check(['subject'], dueAtMs - 1).kind, 'withheld');
  assert.equal(table.check(['subject'], dueAtMs).kind, 'probe-due');
  const probe = table.startProbe('subject', dueAtMs);
  assert.equal(table.check(['subject'], dueAtMs + 1).kind, 'withheld');
  assert.deepEqual(table.recordStart(['subject'], dueAtMs + 300, dueAtMs + 500), [
    { partId: 'subject', change: PartChange.Released },
  ]);
  assert.deepEqual(table.endProbe(probe, dueAtMs + 600), []);
  assert.deepEqual(table.check(['subject'], dueAtMs + 601), { kind: 'allowed' });
});

test('a probe whose caller left does not prolong the quarantine', () => {
  const table = createTable();
  crashEngines(table, ['subject'], 3);
  const dueAtMs = START_MS + 200 + quarantineMs;
  const probe = table.startProbe('subject', dueAtMs);
  table.endProbe(probe, dueAtMs + 500);
  assert.equal(table.check(['subject'], dueAtMs + 500 + inconclusiveProbeMs).kind, 'probe-due');
});

test('a probe that another router has started is known to all', () => {
  const [first, second] = [createTable(), createTable()];
  crashEngines(first, ['subject'], 3);
  const dueAtMs = START_MS + 200 + quarantineMs;
  for (const report of first.reports(dueAtMs)) {
    second.merge(report, dueAtMs);
  }
  first.startProbe('subject', dueAtMs);
  for (const report of first.reports(dueAtMs)) {
    second.merge(report, dueAtMs);
  }
  const verdict = second.check(['subject'], dueAtMs + 1);
  assert.equal(verdict.kind === 'withheld' && Math.round(verdict.retryInMs / quarantineMs), quarantineGrowth);
});

test('the number of records is bounded, and quarantined parts stay', () => {
  const table = createTable();
  crashEngines(table, ['subject'], 3);
  for (let index = 0; index < 1_000; index += 1) {
    table.recordCrash('engine-x', [`part-${index}`], START_MS + 500 + index);
  }
  assert.ok(table.reports(START_MS + 2_000).length <= 256);
  assert.equal(table.isQuarantined('subject'), true);
});

test('a part that was beside the cause in all of its crashes is probed at once by a request without the cause', () => {
  const table = createTable();
  crashEngines(table, ['cause', 'bystander'], 3);
  table.recordCrash('engine-x', ['cause', 'second'], START_MS + 400);
  table.recordCrash('engine-y', ['cause', 'third'], START_MS + 500);
  const nowMs = START_MS + 600;
  assert.equal(table.check(['cause', 'bystander'], nowMs).kind, 'withheld');
  assert.deepEqual(table.check(['preamble', 'bystander'], nowMs), { kind: 'probe-due', partId: 'bystander' });
  table.startProbe('bystander', nowMs);
  table.recordStart(['preamble', 'bystander'], nowMs + 300, nowMs + 500);
  assert.deepEqual(table.check(['preamble', 'bystander'], nowMs + 600), { kind: 'allowed' });
  assert.equal(table.check(['cause', 'other'], nowMs + 600).kind, 'withheld');
});

test('of two parts with the same crashes, the cause is withheld again after one more', () => {
  const table = createTable();
  for (let index = 0; index < 3; index += 1) {
    table.recordCrash(`engine-${index}`, ['cause'], START_MS + index);
    table.recordCrash(`engine-${index}`, ['bystander'], START_MS + index);
  }
  const nowMs = START_MS + 100;
  const probe = table.startProbe('cause', nowMs);
  table.recordCrash('engine-x', ['cause'], nowMs + 300);
  table.endProbe(probe, nowMs + 310);
  assert.equal(table.check(['cause'], nowMs + quarantineMs).kind, 'withheld');
  assert.equal(table.check(['bystander'], nowMs + 400).kind, 'probe-due');
});
