import { z } from 'zod';

const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  const match = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/.exec(text);
  return match !== null && Number(match[1]) <= MAX_PORT;
}

/** `IP:port` with an IPv4 address. */
export const addressSchema = z
  .string('expected IP:port, for example 127.1.0.31:8400')
  .refine(isAddress, 'expected IP:port, for example 127.1.0.31:8400');

export const countSchema = z.int('expected a whole number').nonnegative('expected a number of at least 0');
export const positiveSchema = z.int('expected a whole number').positive('expected a number of at least 1');
export const durationSchema = z
  .number('expected milliseconds as a number')
  .nonnegative('expected milliseconds of at least 0');
