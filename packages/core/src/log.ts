import type { CoreContext } from './context.ts';
import { EffectKind, LogLevel } from './types/effects.ts';

type LogFields = Readonly<Record<string, string | number | boolean>>;

export function logInfo(context: CoreContext, message: string, fields: LogFields): void {
  context.emit({ kind: EffectKind.Log, level: LogLevel.Info, message, fields });
}

export function logWarn(context: CoreContext, message: string, fields: LogFields): void {
  context.emit({ kind: EffectKind.Log, level: LogLevel.Warn, message, fields });
}

export function logError(context: CoreContext, message: string, fields: LogFields): void {
  context.emit({ kind: EffectKind.Log, level: LogLevel.Error, message, fields });
}
