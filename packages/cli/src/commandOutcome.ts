import { ExitCode } from './exitCodes.ts';

/** What a command prints and how it ends. Commands return it, so that tests need no process. */
export interface CommandOutcome {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly errors: string;
}

export function success(output: string, errors = ''): CommandOutcome {
  return { exitCode: ExitCode.Success, output, errors };
}

export function failure(errors: string): CommandOutcome {
  return { exitCode: ExitCode.Failure, output: '', errors };
}

export function usage(errors: string): CommandOutcome {
  return { exitCode: ExitCode.WrongUsage, output: '', errors };
}

/** Prints an outcome and leaves its exit code to the process, so that pending output is written first. */
export async function finish(pending: Promise<CommandOutcome> | CommandOutcome): Promise<void> {
  const { exitCode, output, errors } = await pending;
  process.stdout.write(withNewline(output));
  process.stderr.write(withNewline(errors));
  process.exitCode = exitCode;
}

function withNewline(text: string): string {
  return text === '' || text.endsWith('\n') ? text : `${text}\n`;
}
