export { EventQueue } from './eventQueue.ts';
