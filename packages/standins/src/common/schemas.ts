import { z } from 'zod';

const MAX_PORT = 65_535;

function isIpv4Address(text: string): boolean {
  const match = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/.exec(text);
  return match !== null && Number(match[1]) <= MAX_PORT;
}

/** `IP:port` with an IPv4 address. */
export const addressSchema = z
  .string('expected IP:port, for example 127.1.0.31:8400')
  .refine(isIpv4Address, 'expected IP:port, for example 127.1.0.31:8400');

export const nonNegativeIntegerSchema = z
  .int('expected an integer')
  .nonnegative('expected a number of at least 0');
export const positiveIntegerSchema = z.int('expected an integer').positive('expected a number of at least 1');
export const durationMsSchema = z
  .number('expected a number of milliseconds')
  .nonnegative('expected at least 0 milliseconds');
