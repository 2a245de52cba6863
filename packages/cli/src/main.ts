import { runCli } from './runCli.ts';

void runCli(process.argv.slice(2));
