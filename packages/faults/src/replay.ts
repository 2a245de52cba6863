// Repeats one run and prints all its violations. Usage: replay.ts WORKLOAD FAULT@STEP..., as printed by the matrix.
import { runOne } from './runOne.ts';
import type { Fault } from './types.ts';
import { createFault, parseFaultKind } from './planRuns.ts';

function parseFault(argument: string): Fault {
  const [kind = '', step = ''] = argument.split('@');
  return createFault(parseFaultKind(kind), Number(step));
}

const [workload = '0', ...faultArguments] = process.argv.slice(2);
const report = runOne(Number(workload), faultArguments.map(parseFault));
for (const { promise, detail } of report.violations) {
  console.log(`${promise}: ${detail}`);
}
console.log(JSON.stringify({ ...report, violations: report.violations.length }));
