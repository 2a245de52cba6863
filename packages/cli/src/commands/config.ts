import type { CAC } from 'cac';
import { ExitCode } from '../exitCodes.ts';

/** Placeholder until the configuration commands are merged. */
export function registerConfig(cli: CAC): void {
  cli
    .command('config <action> [...args]', 'Read or change the configuration: get, diff, apply, bootstrap')
    .action(() => {
      process.stderr.write('pimentostall: this build does not have the command "config" yet\n');
      process.exitCode = ExitCode.Failure;
    });
}
