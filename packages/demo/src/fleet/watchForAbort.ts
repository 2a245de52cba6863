/** `aborted` rejects on SIGINT, SIGTERM or the time limit, so that the processes can always be stopped. */
export function watchForAbort(limitMs: number): {
  readonly aborted: Promise<never>;
  readonly cancel: () => void;
} {
  let cancel = (): void => undefined;
  const aborted = new Promise<never>((_, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`the time limit of ${limitMs} ms was reached`));
    }, limitMs);
    const abort = (signal: NodeJS.Signals) => {
      reject(new Error(`stopped by ${signal}`));
    };
    process.on('SIGINT', abort);
    process.on('SIGTERM', abort);
    cancel = () => {
      clearTimeout(timer);
    };
  });
  return { aborted, cancel };
}
