// Entry point of a worker thread. Worker threads on Node.js 20 do not inherit the TypeScript loader.
import { register } from 'tsx/esm/api';

register();
await import('./worker.ts');
