import { cac } from 'cac';
import { DEFAULT_OPTIONS, parseOptions } from './options.ts';
import { runRouterBench } from './runRouterBench.ts';

const cli = cac('bench:router');
cli.option('--base-port <port>', 'First port', { default: DEFAULT_OPTIONS.basePort });
cli.option('--peers <count>', 'Additional routers in the region', { default: DEFAULT_OPTIONS.peerCount });
cli.option('--runs <count>', 'Pairs of runs for each metric', {
  default: DEFAULT_OPTIONS.runs,
});
cli.option('--run-ms <duration>', 'Duration of one run', { default: DEFAULT_OPTIONS.runMs });
cli.help();
const { options: raw } = cli.parse();

if (raw.help !== true) {
  const options = parseOptions(raw);
  if (options.isErr()) {
    process.stderr.write(`${options.error}\n`);
    process.exit(2);
  }
  process.exit(await runRouterBench(options.value));
}
