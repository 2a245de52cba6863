import { cac } from 'cac';
import { registerRouter } from './commands/router.ts';
import { ExitCode } from './exitCodes.ts';

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

/** Parses the arguments and runs the command. Errors go to standard error. */
export async function runCli(args: readonly string[]): Promise<void> {
  const cli = cac('pimentostall');
  registerRouter(cli);
  cli.help();
  cli.version('0.1.0');
  try {
    cli.parse(['node', 'pimentostall', ...args], { run: false });
    await cli.runMatchedCommand();
  } catch (cause) {
    process.stderr.write(`pimentostall: ${messageOf(cause)}\n`);
    process.exitCode = ExitCode.WrongUsage;
  }
}
