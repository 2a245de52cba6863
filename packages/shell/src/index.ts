export type { RunningRouter } from './startRouter.ts';
export { startRouter } from './startRouter.ts';
