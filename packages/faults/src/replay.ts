import { runOne } from './runOne.ts';
import type { Fault } from './types.ts';
import { createFault, faultKindOf } from './planRuns.ts';

/** Repeats one run: `replay.ts WORKLOAD FAULT@STEP...` as the matrix prints it, and prints all its violations. */
function parseFault(word: string): Fault {
  const [kind = '', step = ''] = word.split('@');
  return createFault(faultKindOf(kind), Number(step));
}

const [workload = '0', ...words] = process.argv.slice(2);
const report = runOne(Number(workload), words.map(parseFault));
for (const { promise, detail } of report.violations) {
  console.log(`${promise}: ${detail}`);
}
console.log(JSON.stringify({ ...report, violations: report.violations.length }));
