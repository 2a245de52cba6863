import { VmRole, VmState } from '@pimentostall/core';
import { z } from 'zod';
import { addressSchema, countSchema, durationSchema } from '../common/schemas.ts';

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
  memberLagMs: durationSchema.default(0),
  delayMs: durationSchema.default(0),
  members: z.array(vmRowSchema).default([]),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

export const platformControlSchema = z.strictObject({
  down: z.boolean().optional(),
  delayMs: durationSchema.optional(),
  loseReplies: countSchema.optional(),
  members: z.array(vmRowSchema).optional(),
  memberLagMs: durationSchema.optional(),
});

export type PlatformControl = z.infer<typeof platformControlSchema>;

const jsonSchema = z.json();

export const readCallSchema = z.object({ keys: z.array(z.string()) });
export const scanCallSchema = z.object({ keyPrefix: z.string() });
export const commitCallSchema = z.object({
  checks: z.array(z.object({ key: z.string(), expectedVersion: countSchema })),
  writes: z.array(z.object({ key: z.string(), value: jsonSchema.optional() })),
});
