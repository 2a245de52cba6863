/** Invalid command line; the process exits with the code for wrong usage. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
