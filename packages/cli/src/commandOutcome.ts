import { ExitCode } from './exitCodes.ts';

/** Output and exit code of a command. Commands return them, so that tests need no child process. */
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
  return { exitCode: ExitCode.UsageError, output: '', errors };
}

/** Prints an outcome and sets the exit code without exiting, so that pending output is written first. */
export async function finish(pending: Promise<CommandOutcome> | CommandOutcome): Promise<void> {
  const { exitCode, output, errors } = await pending;
  process.stdout.write(withNewline(output));
  process.stderr.write(withNewline(errors));
  process.exitCode = exitCode;
}

function withNewline(text: string): string {
  return text === '' || text.endsWith('\n') ? text : `${text}\n`;
}
