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

/** Runs a stand-in until SIGTERM or SIGINT and resolves with the exit code of the process. */
export async function runStandIn(kind: string, settingsFile: string): Promise<number> {
  const startResult = parseKind(kind).andThen((standInKind) => startStandIn(standInKind, settingsFile));
  if (startResult.isErr()) {
    process.stderr.write(`${startResult.error}\n`);
    return StandInExit.InvalidSettings;
  }
  const shutdownSignal = waitForShutdownSignal();
  let server: RunningServer;
  try {
    server = await startResult.value;
  } catch (error) {
    process.stderr.write(`${settingsFile}: failed to start the ${kind} stand-in: ${String(error)}\n`);
    return StandInExit.Failed;
  }
  await shutdownSignal;
  await server.close();
  return StandInExit.Stopped;
}

function isStandInKind(text: string): text is StandInKind {
  return (Object.values(StandInKind) as readonly string[]).includes(text);
}

function parseKind(text: string): Result<StandInKind, string> {
  const expected = Object.values(StandInKind).join(', ');
  return isStandInKind(text) ? ok(text) : err(`unknown stand-in "${text}": expected one of ${expected}`);
}

function startStandIn(kind: StandInKind, file: string): StartResult {
  switch (kind) {
    case StandInKind.Platform:
      return startWithSettings(file, platformSettingsSchema, startPlatform);
    case StandInKind.Engine:
      return startWithSettings(file, engineSettingsSchema, startEngine);
    case StandInKind.Service:
      return startWithSettings(file, serviceSettingsSchema, startService);
    case StandInKind.Link:
      return startWithSettings(file, linkSettingsSchema, startLink);
  }
}

function startWithSettings<T>(
  file: string,
  schema: z.ZodType<T>,
  startServer: (settings: T) => Promise<RunningServer>,
): StartResult {
  return readSettings(file, schema).map(startServer);
}

function waitForShutdownSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve();
      });
    }
  });
}
