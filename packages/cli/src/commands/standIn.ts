import * as standIns from '@pimentostall/standins';
import type { CAC } from 'cac';
import { ExitCode } from '../exitCodes.ts';
import { requiredOption } from '../requiredOption.ts';
import { UsageError } from '../usageError.ts';

const STAND_IN_KINDS = ['platform', 'engine', 'service', 'link'];

type RunStandIn = (kind: string, settingsFile: string) => Promise<number>;

async function run(kind: string, file: string): Promise<void> {
  if (!STAND_IN_KINDS.includes(kind)) {
    throw new UsageError(`unknown stand-in "${kind}"; use one of ${STAND_IN_KINDS.join(', ')}`);
  }
  const { runStandIn } = standIns as { readonly runStandIn?: RunStandIn };
  if (runStandIn === undefined) {
    process.stderr.write('pimentostall: this build does not include the stand-ins; use a build that does\n');
    process.exitCode = ExitCode.Failure;
    return;
  }
  process.exitCode = await runStandIn(kind, file);
}

/** `pimentostall stand-in KIND --settings FILE`: runs a stand-in for an external system. */
export function registerStandIn(cli: CAC): void {
  cli
    .command('stand-in <kind>', `Run a stand-in: ${STAND_IN_KINDS.join(', ')}`)
    .option('--settings <file>', 'YAML settings of the stand-in')
    .action((kind: string, options: { settings?: unknown }) =>
      run(kind, requiredOption(options.settings, '--settings FILE')),
    );
}
