// Measures how the costs of a router grow with the size of the fleet. docs/CAPACITY.md is derived from the results.
import { cac } from 'cac';
import { completeOptions, DEFAULT_OPTIONS } from './options.ts';
import { formatJson, formatTable } from './report.ts';
import { runSlopes } from './runSlopes.ts';

interface Flags {
  readonly quick?: boolean;
  readonly repeats?: number;
}

async function run(flags: Flags): Promise<void> {
  const quick = flags.quick ?? DEFAULT_OPTIONS.quick;
  const options = completeOptions({ quick, repeats: flags.repeats ?? (quick ? 1 : DEFAULT_OPTIONS.repeats) });
  if (options.isErr()) {
    throw new Error(options.error);
  }
  const startedAtMs = performance.now();
  const all = await runSlopes(options.value, (name) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
    process.stderr.write(`${seconds} s: ${name}\n`);
  });
  const elapsedSeconds = Math.round((performance.now() - startedAtMs) / 1_000);
  const collected = globalThis.gc !== undefined;
  process.stdout.write(`${formatTable(all)}\n`);
  if (!collected) {
    process.stdout.write(
      'Memory was measured without forced garbage collection; start node with --expose-gc.\n',
    );
  }
  process.stdout.write(`${formatJson(all, { ...options.value, elapsedSeconds, collected })}\n`);
}

const cli = cac('bench:slopes');
cli
  .command('', 'Measures the slopes')
  .option('--quick', 'A short run over the smallest sizes')
  .option('--repeats <count>', 'Number of measurements of each size')
  .action(run);
cli.help();
cli.parse(process.argv, { run: false });
try {
  await cli.runMatchedCommand();
} catch (cause) {
  process.stderr.write(`${cause instanceof Error ? (cause.stack ?? cause.message) : String(cause)}\n`);
  process.exitCode = 1;
}
