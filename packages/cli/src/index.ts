export { registerCheck } from './commands/check.ts';
export { registerConfig } from './commands/config.ts';
export { ExitCode } from './exitCodes.ts';
export { requiredOption } from './requiredOption.ts';
export { runCli } from './runCli.ts';
export { UsageError } from './usageError.ts';
