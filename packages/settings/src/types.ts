import type { CoreOptions, RouterIdentity } from '@pimentostall/core';

export type LogThreshold = 'debug' | 'info' | 'warn' | 'error';

/** The checked settings file of a router. */
export interface RouterSettings {
  readonly identity: RouterIdentity;
  readonly adminAddress: string;
  readonly platformAddress: string;
  readonly addressOverrides: Readonly<Record<string, string>>;
  readonly options: Partial<CoreOptions>;
  readonly logLevel: LogThreshold;
}

/** A fault in a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}
