/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  UsageError = 2,
}
