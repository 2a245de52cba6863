import { z } from 'zod';
import { addressSchema, durationMsSchema, positiveIntegerSchema } from '../common/schemas.ts';

const relaySchema = z.strictObject({
  listen: addressSchema,
  target: addressSchema,
  /** Whether clients connect from the far region, so that their requests use the inbound direction. */
  reversed: z.boolean('expected true or false').default(false),
});

export const linkSettingsSchema = z.strictObject({
  controlAddress: addressSchema,
  delayMs: durationMsSchema.default(0),
  /** Bandwidth of each direction, shared by all relays; unlimited if omitted. */
  bytesPerSecond: positiveIntegerSchema.optional(),
  relays: z.array(relaySchema, 'expected a list of {listen, target}').min(1, 'expected at least one relay'),
});

export type LinkSettings = z.infer<typeof linkSettingsSchema>;
export type RelaySettings = z.infer<typeof relaySchema>;

export const linkControlSchema = z.strictObject({ cut: z.boolean() });
