import { VmRole, VmState } from '@pimentostall/core';
import { z } from 'zod';
import { addressSchema, durationMsSchema, nonNegativeIntegerSchema } from '../common/schemas.ts';

export const vmRowSchema = z.object({
  vmId: z.string('expected the identifier of a VM'),
  address: addressSchema,
  role: z.enum(VmRole, `expected one of ${Object.values(VmRole).join(', ')}`),
  state: z.enum(VmState, `expected one of ${Object.values(VmState).join(', ')}`),
  region: z.string('expected the name of a region'),
  availabilityZone: z.string('expected the name of an availability zone'),
});

export const platformSettingsSchema = z.strictObject({
  address: addressSchema,
  memberLagMs: durationMsSchema.default(0),
  delayMs: durationMsSchema.default(0),
  members: z.array(vmRowSchema).default([]),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

export const platformControlSchema = z.strictObject({
  down: z.boolean().optional(),
  delayMs: durationMsSchema.optional(),
  loseReplies: nonNegativeIntegerSchema.optional(),
  members: z.array(vmRowSchema).optional(),
  memberLagMs: durationMsSchema.optional(),
});

export type PlatformControl = z.infer<typeof platformControlSchema>;

const jsonSchema = z.json();

export const readRequestSchema = z.object({ keys: z.array(z.string()) });
export const scanRequestSchema = z.object({ keyPrefix: z.string() });
export const commitRequestSchema = z.object({
  checks: z.array(z.object({ key: z.string(), expectedVersion: nonNegativeIntegerSchema })),
  writes: z.array(z.object({ key: z.string(), value: jsonSchema.optional() })),
});
