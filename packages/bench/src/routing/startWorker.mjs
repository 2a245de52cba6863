// Entry of a worker thread: threads on Node.js 20 do not inherit the TypeScript loader, so it is registered here.
import { register } from 'tsx/esm/api';

register();
await import('./worker.ts');
