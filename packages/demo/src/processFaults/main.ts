import { cac } from 'cac';
import { DEFAULT_OPTIONS, parseOptions } from './options.ts';
import { runProcessFaults } from './runProcessFaults.ts';
import { FaultScenario } from './types.ts';

const cli = cac('faults:processes');
cli.option('--only <name>', `Run one scenario: ${Object.values(FaultScenario).join(', ')}`);
cli.option('--base-port <port>', 'First port of the fleets', { default: DEFAULT_OPTIONS.basePort });
cli.option('--lanes <count>', 'Fleets at the same time', { default: DEFAULT_OPTIONS.laneCount });
cli.help();
const { options: raw } = cli.parse();

if (raw.help !== true) {
  const options = parseOptions(raw);
  if (options.isErr()) {
    process.stderr.write(`${options.error}\n`);
    process.exit(2);
  }
  // Callers that a given-up run left behind must not keep the process alive.
  process.exit(await runProcessFaults(options.value));
}
