/** The command line is wrong; the process ends with the exit code for wrong usage. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
