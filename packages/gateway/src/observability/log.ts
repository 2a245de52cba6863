export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Writes one log entry as a line of JSON. Must not block. */
export type Log = (level: LogLevel, message: string, fields: Readonly<Record<string, unknown>>) => void;
