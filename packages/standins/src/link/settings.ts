import { z } from 'zod';
import { addressSchema, durationSchema, positiveSchema } from '../common/schemas.ts';

const relaySchema = z.strictObject({
  listen: addressSchema,
  target: addressSchema,
  /** A reversed relay is dialled from the far region, so what it sends uses the opposite direction. */
  reversed: z.boolean('expected true or false').default(false),
});

export const linkSettingsSchema = z.strictObject({
  controlAddress: addressSchema,
  delayMs: durationSchema.default(0),
  /** Shared by all relays, for each direction. Left out: no limit. */
  bytesPerSecond: positiveSchema.optional(),
  relays: z.array(relaySchema, 'expected a list of {listen, target}').min(1, 'expected at least one relay'),
});

export type LinkSettings = z.infer<typeof linkSettingsSchema>;
export type RelaySettings = z.infer<typeof relaySchema>;

export const linkControlSchema = z.strictObject({ cut: z.boolean() });
