import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { Result as Results } from 'neverthrow';
import type { CommandOutcome } from './commandOutcome.ts';
import { failure } from './commandOutcome.ts';

export function readTextFile(file: string): Result<string, CommandOutcome> {
  return Results.fromThrowable(
    () => readFileSync(file, 'utf8'),
    (cause) =>
      failure(
        `${file}:1:1 (file): expected a readable file; check the path and its permissions: ${String(cause)}`,
      ),
  )();
}
