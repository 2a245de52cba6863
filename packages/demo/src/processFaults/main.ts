import { cac } from 'cac';
import { DEFAULT_OPTIONS, parseOptions } from './options.ts';
import { runProcessFaults } from './runProcessFaults.ts';
import { FaultScenario } from './types.ts';

const cli = cac('faults:processes');
cli.option('--only <name>', `Run only one scenario: ${Object.values(FaultScenario).join(', ')}`);
cli.option('--base-port <port>', 'First port of the deployments', { default: DEFAULT_OPTIONS.basePort });
cli.option('--lanes <count>', 'Number of scenarios that run concurrently', {
  default: DEFAULT_OPTIONS.laneCount,
});
cli.help();
const { options: raw } = cli.parse();

if (raw.help !== true) {
  const options = parseOptions(raw);
  if (options.isErr()) {
    process.stderr.write(`${options.error}\n`);
    process.exit(2);
  }
  // Exits explicitly, because callers of an aborted run could keep the process alive.
  process.exit(await runProcessFaults(options.value));
}
