// Entry point of a worker thread. On Node.js 20 threads do not inherit the TypeScript loader, so it is registered here.
import { register } from 'tsx/esm/api';

register();
await import('./worker.ts');
