import type { CAC } from 'cac';
import { ExitCode } from '../exitCodes.ts';

/** Placeholder until the configuration commands are merged. */
export function registerCheck(cli: CAC): void {
  cli.command('check <file>', 'Check a settings file or a configuration document').action(() => {
    process.stderr.write('pimentostall: this build does not have the command "check" yet\n');
    process.exitCode = ExitCode.Failure;
  });
}
