import type { CoreOptions } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

export interface BenchOptions {
  readonly seeds: number;
  /** Requests per scenario and seed. */
  readonly requests: number;
  /** Core options to override. */
  readonly core: Partial<CoreOptions>;
}

export const DEFAULT_OPTIONS: BenchOptions = { seeds: 3, requests: 3_000, core: {} };

const USAGE = 'Use --seeds N --requests N with whole numbers above 0, and --core with JSON of core options.';

/** Parses the command line of the benchmark. */
export function parseOptions(args: readonly string[]): Result<BenchOptions, string> {
  let options = DEFAULT_OPTIONS;
  for (let index = 0; index < args.length; index += 2) {
    const change = parseOption(args[index] ?? '', args[index + 1] ?? '');
    if (change === undefined) {
      return err(`Unexpected "${args.slice(index, index + 2).join(' ')}". ${USAGE}`);
    }
    options = { ...options, ...change };
  }
  return ok(options);
}

function parseOption(name: string, value: string): Partial<BenchOptions> | undefined {
  if (name === '--core') {
    const core = parseCore(value);
    return core === undefined ? undefined : { core };
  }
  const count = Number(value);
  if (!Number.isSafeInteger(count) || count < 1) {
    return undefined;
  }
  switch (name) {
    case '--seeds':
      return { seeds: count };
    case '--requests':
      return { requests: count };
    default:
      return undefined;
  }
}

function parseCore(text: string): Partial<CoreOptions> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isKnown =
      typeof value === 'object' &&
      value !== null &&
      Object.entries(value).every(([name, each]) => name in DEFAULT_CORE_OPTIONS && typeof each === 'number');
    return isKnown ? value : undefined;
  } catch {
    return undefined;
  }
}
