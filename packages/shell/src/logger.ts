import type { RouterSettings } from '@pimentostall/settings';
import type { Logger } from 'pino';
import { pino } from 'pino';

/** Logs JSON lines to standard output. Log calls must not pass prompt text or credentials. */
export function createLogger(level: RouterSettings['logLevel'], routerId: string): Logger {
  return pino({ level, base: { routerId }, timestamp: pino.stdTimeFunctions.isoTime });
}
