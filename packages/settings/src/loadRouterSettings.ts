import { readFileSync } from 'node:fs';
import type { CoreOptions, RouterIdentity } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, Result as Results } from 'neverthrow';
import { z } from 'zod';
import { checkSchema } from './checkSchema.ts';
import type { SettingsIssue } from './issues.ts';
import { coreOptionsSchema } from './options.ts';
import { address, identifier, mapping } from './schemaParts.ts';
import { YamlSource } from './yamlSource.ts';

/** Settings that a router process reads at startup. */
export interface RouterSettings {
  readonly identity: RouterIdentity;
  readonly adminAddress: string;
  readonly platformAddress: string;
  /** Maps a target address to the address to connect to instead, such as the relay of a region link. */
  readonly addressOverrides: Record<string, string>;
  readonly options: Partial<CoreOptions>;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

const logLevel = z.enum(['debug', 'info', 'warn', 'error'], { error: 'debug, info, warn or error' });

const settingsSchema = mapping({
  routerId: identifier(),
  vmId: identifier(),
  region: identifier(),
  storeRegion: identifier(),
  availabilityZone: identifier(),
  callerAddress: address(),
  peerAddress: address(),
  adminAddress: address(),
  platformAddress: address(),
  addressOverrides: z.record(address(), address(), { error: 'a mapping of addresses IP:port' }).default({}),
  options: coreOptionsSchema.default({}),
  log: mapping({ level: logLevel.default('info') }).default({ level: 'info' }),
});

/** Reads and validates the settings file of a router. */
export function loadRouterSettings(file: string): Result<RouterSettings, readonly SettingsIssue[]> {
  const text = Results.fromThrowable(
    () => readFileSync(file, 'utf8'),
    (cause) => (cause instanceof Error ? cause.message : String(cause)),
  )();
  return text.isErr() ? err([unreadableFileIssue(file, text.error)]) : parseRouterSettings(text.value, file);
}

export function parseRouterSettings(
  text: string,
  file: string,
): Result<RouterSettings, readonly SettingsIssue[]> {
  return checkSchema(new YamlSource(text), settingsSchema, '')
    .map(({ adminAddress, platformAddress, addressOverrides, options, log, ...identity }) => ({
      identity,
      adminAddress,
      platformAddress,
      addressOverrides,
      options,
      logLevel: log.level,
    }))
    .mapErr((issues) => issues.map((issue) => ({ file, ...issue })));
}

function unreadableFileIssue(file: string, detail: string): SettingsIssue {
  const advice = `check the path and its permissions: ${detail}`;
  return { file, line: 1, column: 1, field: '(file)', expected: 'a readable file', advice };
}
