import { z } from 'zod';
import {
  addressSchema,
  durationMsSchema,
  nonNegativeIntegerSchema,
  positiveIntegerSchema,
} from '../common/schemas.ts';
import { DEFAULT_LOAD_REPORTER_OPTIONS } from './loadReporter.ts';
import { DEFAULT_SIMULATED_ENGINE_OPTIONS } from './options.ts';

const engineDefaults = DEFAULT_SIMULATED_ENGINE_OPTIONS;
const loadReporterDefaults = DEFAULT_LOAD_REPORTER_OPTIONS;

export const engineSettingsSchema = z.strictObject({
  address: addressSchema,
  honoursFencing: z.boolean('expected true or false').default(true),
  maxRunning: positiveIntegerSchema.default(engineDefaults.maxRunning),
  maxQueued: nonNegativeIntegerSchema.default(engineDefaults.maxQueued),
  prefillMsPerBlock: durationMsSchema.default(engineDefaults.prefillMsPerBlock),
  tokenIntervalMs: durationMsSchema.default(engineDefaults.tokenIntervalMs),
  tokenIntervalPerSequenceMs: durationMsSchema.default(engineDefaults.tokenIntervalPerSequenceMs),
  cacheBlocks: nonNegativeIntegerSchema.default(engineDefaults.cacheBlocks),
  unreadLimitMs: durationMsSchema.default(engineDefaults.unreadLimitMs),
  keepMs: durationMsSchema.default(engineDefaults.keepMs),
  loadLagMs: durationMsSchema.default(loadReporterDefaults.loadLagMs),
  cacheEventLagMs: durationMsSchema.default(loadReporterDefaults.cacheEventLagMs),
  cacheEventWindowMs: durationMsSchema.default(loadReporterDefaults.cacheEventWindowMs),
  cacheEventGap: nonNegativeIntegerSchema.default(loadReporterDefaults.cacheEventGap),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;

export const engineControlSchema = z.strictObject({
  down: z.boolean().optional(),
  leaving: z.boolean().optional(),
  tokenIntervalMs: durationMsSchema.optional(),
  dieAtIndex: nonNegativeIntegerSchema.optional(),
});

export type EngineControl = z.infer<typeof engineControlSchema>;

export const engineRequestSchema = z.object({
  requestId: z.string().min(1),
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxOutputTokens: positiveIntegerSchema,
  priority: z.number(),
});

export const engineOrderSchema = z.object({
  fencingNumber: nonNegativeIntegerSchema,
  model: z.string().optional(),
  state: z.string().optional(),
});
