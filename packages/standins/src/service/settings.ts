import { z } from 'zod';
import { addressSchema, durationMsSchema, nonNegativeIntegerSchema } from '../common/schemas.ts';

export const serviceSettingsSchema = z.strictObject({
  address: addressSchema,
  honoursKey: z.boolean('expected true or false').default(false),
  delayMs: durationMsSchema.default(0),
});

export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;

export const serviceControlSchema = z.strictObject({
  down: z.boolean().optional(),
  leaving: z.boolean().optional(),
  delayMs: durationMsSchema.optional(),
  loseReplies: nonNegativeIntegerSchema.optional(),
});

export type ServiceControl = z.infer<typeof serviceControlSchema>;
