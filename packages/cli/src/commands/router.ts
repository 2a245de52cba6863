import { formatFaults, loadRouterSettings } from '@pimentostall/settings';
import { startRouter } from '@pimentostall/shell';
import type { CAC } from 'cac';
import { ExitCode } from '../exitCodes.ts';

async function run(file: string): Promise<void> {
  const settings = loadRouterSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${formatFaults(settings.error)}\n`);
    process.exitCode = ExitCode.Failure;
    return;
  }
  await startRouter(settings.value);
}

/** `pimentostall router --settings FILE`: runs one router until it is stopped. */
export function registerRouter(cli: CAC): void {
  cli
    .command('router', 'Run a router')
    .option('--settings <file>', 'YAML settings of this router')
    .action((options: { settings: string }) => run(options.settings));
}
