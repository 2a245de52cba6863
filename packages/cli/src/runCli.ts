import type { CAC } from 'cac';
import { cac } from 'cac';
import { registerCheck } from './commands/check.ts';
import { registerConfig } from './commands/config.ts';
import { registerRouter } from './commands/router.ts';
import { registerStandIn } from './commands/standIn.ts';
import { ExitCode } from './exitCodes.ts';
import { UsageError } from './usageError.ts';
import { VERSION } from './version.ts';

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

function createCli(): CAC {
  const cli = cac('pimentostall');
  registerRouter(cli);
  registerStandIn(cli);
  registerCheck(cli);
  registerConfig(cli);
  cli.help();
  cli.version(VERSION);
  return cli;
}

function isUsageError(cause: unknown): boolean {
  return cause instanceof UsageError || (cause instanceof Error && cause.name === 'CACError');
}

async function runCommand(cli: CAC, args: readonly string[]): Promise<void> {
  cli.parse(['node', 'pimentostall', ...args], { run: false });
  if (cli.options.help === true || cli.options.version === true) {
    return;
  }
  if (cli.matchedCommand === undefined) {
    const [name] = cli.args;
    cli.globalCommand.checkUnknownOptions();
    throw new UsageError(name === undefined ? 'missing command' : `unknown command "${name}"`);
  }
  cli.matchedCommand.checkUnusedArgs();
  await cli.runMatchedCommand();
}

/** Parses the arguments and runs the command. Errors go to standard error and set the exit code. */
export async function runCli(args: readonly string[]): Promise<void> {
  try {
    await runCommand(createCli(), args);
  } catch (cause) {
    const wrongUsage = isUsageError(cause);
    const advice = wrongUsage ? '; see pimentostall --help' : '';
    process.stderr.write(`pimentostall: ${errorMessage(cause)}${advice}\n`);
    process.exitCode = wrongUsage ? ExitCode.UsageError : ExitCode.Failure;
  }
}
