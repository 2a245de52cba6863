import type { EngineChunk, EngineFinish, EngineLoad, EngineModels } from '@pimentostall/core';
import { ModelState } from '@pimentostall/core';

type JsonObject = Readonly<Record<string, unknown>>;

function parseObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as JsonObject) : undefined;
  } catch {
    return undefined;
  }
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/** Parses an engine's token counts; undefined if a count needed for billing is missing. */
export function parseFinish(value: unknown, defaultReason: string): EngineFinish | undefined {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const { reason, promptTokens, cachedPromptTokens, outputTokens } = value as JsonObject;
  if (!isCount(promptTokens) || !isCount(outputTokens)) {
    return undefined;
  }
  return {
    reason: typeof reason === 'string' ? reason : defaultReason,
    promptTokens,
    cachedPromptTokens: isCount(cachedPromptTokens) ? cachedPromptTokens : 0,
    outputTokens,
  };
}

/** Parses one chunk of a stream; undefined if it is malformed. */
export function parseEngineChunk(text: string): EngineChunk | undefined {
  const fields = parseObject(text);
  if (fields === undefined || !isCount(fields.index) || typeof fields.text !== 'string') {
    return undefined;
  }
  if (fields.finish === undefined || fields.finish === null) {
    return { index: fields.index, text: fields.text, finish: undefined };
  }
  const finish = parseFinish(fields.finish, 'stop');
  return finish === undefined ? undefined : { index: fields.index, text: fields.text, finish };
}

/** Parses the token counts of a cancelled stream. */
export function parseCancelledFinish(text: string): EngineFinish | undefined {
  return parseFinish(parseObject(text), 'cancelled');
}

/** Parses a load report; undefined if it is malformed. */
export function parseEngineLoad(text: string): EngineLoad | undefined {
  const fields = parseObject(text);
  if (fields === undefined || !isCount(fields.runningCount) || !isCount(fields.queuedCount)) {
    return undefined;
  }
  const hashes: readonly unknown[] = Array.isArray(fields.cachedPrefixHashes)
    ? fields.cachedPrefixHashes
    : [];
  return {
    runningCount: fields.runningCount,
    queuedCount: fields.queuedCount,
    leaving: fields.leaving === true,
    ageMs: typeof fields.ageMs === 'number' ? fields.ageMs : 0,
    cachedPrefixHashes: hashes.filter((hash) => typeof hash === 'string'),
  };
}

/** Parses an engine's models; entries with an unknown state are omitted, so they count as unloaded. */
export function parseEngineModels(text: string): EngineModels | undefined {
  const models = parseObject(text)?.models;
  if (typeof models !== 'object' || models === null) {
    return undefined;
  }
  const known = new Map<unknown, ModelState>(Object.values(ModelState).map((state) => [state, state]));
  const entries = Object.entries(models).flatMap(([model, value]) => {
    const state = known.get(value);
    return state === undefined ? [] : [[model, state] as const];
  });
  return Object.fromEntries(entries);
}
