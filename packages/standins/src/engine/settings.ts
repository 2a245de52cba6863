import { z } from 'zod';
import { addressSchema, countSchema, durationSchema, positiveSchema } from '../common/schemas.ts';
import { DEFAULT_LOAD_REPORTER_OPTIONS } from './loadReporter.ts';
import { DEFAULT_SIMULATED_ENGINE_OPTIONS } from './options.ts';

const model = DEFAULT_SIMULATED_ENGINE_OPTIONS;
const load = DEFAULT_LOAD_REPORTER_OPTIONS;

export const engineSettingsSchema = z.strictObject({
  address: addressSchema,
  honoursFencing: z.boolean('expected true or false').default(true),
  maxRunning: positiveSchema.default(model.maxRunning),
  maxQueued: countSchema.default(model.maxQueued),
  prefillMsPerBlock: durationSchema.default(model.prefillMsPerBlock),
  tokenIntervalMs: durationSchema.default(model.tokenIntervalMs),
  tokenIntervalPerSequenceMs: durationSchema.default(model.tokenIntervalPerSequenceMs),
  cacheBlocks: countSchema.default(model.cacheBlocks),
  unreadLimitMs: durationSchema.default(model.unreadLimitMs),
  keepMs: durationSchema.default(model.keepMs),
  loadLagMs: durationSchema.default(load.loadLagMs),
  cacheEventLagMs: durationSchema.default(load.cacheEventLagMs),
  cacheEventWindowMs: durationSchema.default(load.cacheEventWindowMs),
  cacheEventGap: countSchema.default(load.cacheEventGap),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;

export const engineControlSchema = z.strictObject({
  down: z.boolean().optional(),
  leaving: z.boolean().optional(),
  tokenIntervalMs: durationSchema.optional(),
  dieAtIndex: countSchema.optional(),
});

export type EngineControl = z.infer<typeof engineControlSchema>;

export const engineRequestSchema = z.object({
  requestId: z.string().min(1),
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxOutputTokens: positiveSchema,
  priority: z.number(),
});

export const engineOrderSchema = z.object({
  fencingNumber: countSchema,
  model: z.string().optional(),
  state: z.string().optional(),
});
