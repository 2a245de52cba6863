import type { RouterSettings } from '@pimentostall/settings';
import type { Logger } from 'pino';
import { pino } from 'pino';

/** JSON lines on standard output. Callers of the logger pass no prompt text and no credentials. */
export function createLogger(level: RouterSettings['logLevel'], routerId: string): Logger {
  return pino({ level, base: { routerId }, timestamp: pino.stdTimeFunctions.isoTime });
}
