import type { CoreOptions } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import type { z } from 'zod';
import { integer, mapping, numberBetween } from './schemaParts.ts';

const FRACTION_OPTIONS: readonly string[] = ['drawFraction', 'retryBudgetFraction'];
const ZERO_ALLOWED_OPTIONS: readonly string[] = ['copyCount', 'farEngineCostMs'];

/** Accepts every field of CoreOptions. All are optional; the core supplies the defaults. */
export const coreOptionsSchema = mapping(
  Object.fromEntries(
    Object.keys(DEFAULT_CORE_OPTIONS).map((field) => [field, optionSchema(field).optional()]),
  ),
) as unknown as z.ZodType<Partial<CoreOptions>>;

function optionSchema(field: string): z.ZodType<number> {
  if (FRACTION_OPTIONS.includes(field)) {
    return numberBetween(0, 1);
  }
  return integer(ZERO_ALLOWED_OPTIONS.includes(field) ? 0 : 1);
}
