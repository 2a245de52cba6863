import { runDemo } from './runDemo.ts';

// Exits explicitly, because callers of an aborted run could keep the process alive.
process.exit(await runDemo());
