import { runDemo } from './runDemo.ts';

// Callers that a given-up run left behind must not keep the process alive.
process.exit(await runDemo());
