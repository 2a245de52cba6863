export { ExitCode } from './exitCodes.ts';
export { requiredOption } from './requiredOption.ts';
export { runCli } from './runCli.ts';
export { UsageError } from './usageError.ts';
