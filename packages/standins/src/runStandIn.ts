import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';
import type { RunningServer } from './common/httpServer.ts';
import { readSettings } from './common/readSettings.ts';
import { startEngine } from './engine/engineServer.ts';
import { engineSettingsSchema } from './engine/settings.ts';
import { startLink } from './link/linkServer.ts';
import { linkSettingsSchema } from './link/settings.ts';
import { startPlatform } from './platform/platformServer.ts';
import { platformSettingsSchema } from './platform/settings.ts';
import { startService } from './service/serviceServer.ts';
import { serviceSettingsSchema } from './service/settings.ts';

export enum StandInKind {
  Platform = 'platform',
  Engine = 'engine',
  Service = 'service',
  Link = 'link',
}

/** Exit codes of a stand-in process. */
export enum StandInExit {
  Stopped = 0,
  Failed = 1,
  InvalidSettings = 2,
}

type StartResult = Result<Promise<RunningServer>, string>;

/** Starts the stand-in of a kind and resolves with an exit code when a signal ends it. */
export async function runStandIn(kind: string, settingsFile: string): Promise<number> {
  const started = parseKind(kind).andThen((known) => startKind(known, settingsFile));
  if (started.isErr()) {
    process.stderr.write(`${started.error}\n`);
    return StandInExit.InvalidSettings;
  }
  const stopped = waitForSignal();
  let server: RunningServer;
  try {
    server = await started.value;
  } catch (error) {
    process.stderr.write(`${settingsFile}: the ${kind} cannot start: ${String(error)}\n`);
    return StandInExit.Failed;
  }
  await stopped;
  await server.close();
  return StandInExit.Stopped;
}

function isStandInKind(text: string): text is StandInKind {
  return (Object.values(StandInKind) as readonly string[]).includes(text);
}

function parseKind(text: string): Result<StandInKind, string> {
  const expected = Object.values(StandInKind).join(', ');
  return isStandInKind(text)
    ? ok(text)
    : err(`"${text}" is not a kind of stand-in: expected one of ${expected}`);
}

function startKind(kind: StandInKind, file: string): StartResult {
  switch (kind) {
    case StandInKind.Platform:
      return start(file, platformSettingsSchema, startPlatform);
    case StandInKind.Engine:
      return start(file, engineSettingsSchema, startEngine);
    case StandInKind.Service:
      return start(file, serviceSettingsSchema, startService);
    case StandInKind.Link:
      return start(file, linkSettingsSchema, startLink);
  }
}

function start<T>(
  file: string,
  schema: z.ZodType<T>,
  starter: (settings: T) => Promise<RunningServer>,
): StartResult {
  return readSettings(file, schema).map(starter);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve();
      });
    }
  });
}
