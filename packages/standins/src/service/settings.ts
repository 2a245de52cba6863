import { z } from 'zod';
import { addressSchema, countSchema, durationSchema } from '../common/schemas.ts';

export const serviceSettingsSchema = z.strictObject({
  address: addressSchema,
  honoursKey: z.boolean('expected true or false').default(false),
  delayMs: durationSchema.default(0),
});

export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;

export const serviceControlSchema = z.strictObject({
  down: z.boolean().optional(),
  leaving: z.boolean().optional(),
  delayMs: durationSchema.optional(),
  loseReplies: countSchema.optional(),
});

export type ServiceControl = z.infer<typeof serviceControlSchema>;
