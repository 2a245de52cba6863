/** Rejects at the time limit or at SIGINT or SIGTERM, so that the processes are always ended. */
export function endSignal(limitMs: number): {
  readonly reached: Promise<never>;
  readonly cancel: () => void;
} {
  let cancel = (): void => undefined;
  const reached = new Promise<never>((_, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`the time limit of ${limitMs} ms was reached`));
    }, limitMs);
    const stop = (signal: NodeJS.Signals) => {
      reject(new Error(`stopped by ${signal}`));
    };
    process.on('SIGINT', stop);
    process.on('SIGTERM', stop);
    cancel = () => {
      clearTimeout(timer);
    };
  });
  return { reached, cancel };
}
