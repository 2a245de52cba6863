import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { parse } from 'yaml';
import { z } from 'zod';
import type { RouterSettings, SettingsFault } from './types.ts';

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'an address of the form IP:port');

const schema = z.strictObject({
  routerId: z.string().min(1),
  vmId: z.string().min(1),
  region: z.string().min(1),
  storeRegion: z.string().min(1),
  availabilityZone: z.string().min(1),
  callerAddress: address,
  peerAddress: address,
  adminAddress: address,
  platformAddress: address,
  addressOverrides: z.record(address, address).default({}),
  options: z.record(z.string(), z.number()).default({}),
  log: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']) }).default({ level: 'info' }),
});

function readDocument(file: string): Result<unknown, readonly SettingsFault[]> {
  try {
    return ok(parse(readFileSync(file, 'utf8')));
  } catch (cause) {
    const expected = cause instanceof Error ? cause.message : String(cause);
    return err([{ file, field: '', expected, advice: 'Give the path of a readable YAML file.' }]);
  }
}

/** Reads and checks the settings file of a router. */
export function loadRouterSettings(file: string): Result<RouterSettings, readonly SettingsFault[]> {
  return readDocument(file).andThen((document) => {
    const checked = schema.safeParse(document);
    if (!checked.success) {
      return err(
        checked.error.issues.map((issue) => ({
          file,
          field: issue.path.join('.'),
          expected: issue.message,
          advice: 'Correct this field.',
        })),
      );
    }
    const { adminAddress, platformAddress, addressOverrides, options, log, ...identity } = checked.data;
    return ok({ identity, adminAddress, platformAddress, addressOverrides, options, logLevel: log.level });
  });
}
