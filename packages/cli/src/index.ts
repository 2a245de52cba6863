export { registerCheck } from './commands/check.ts';
export { registerConfig } from './commands/config.ts';
