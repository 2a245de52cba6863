export interface ProgressTimeoutOptions {
  /** Time until the response begins. */
  readonly firstByteMs: number;
  /** Time without a byte, once the response has begun. */
  readonly stallMs: number;
  /** Duration of the whole call. */
  readonly limitMs: number;
}

/** Aborts an HTTP call that makes no progress. A large body may take as long as it keeps arriving, up to a limit. */
export class ProgressTimeout {
  private readonly limitTimer: NodeJS.Timeout;
  /** Undefined while the limit ends the call first. */
  private stallTimer: NodeJS.Timeout | undefined;
  private begun = false;
  private aborted = false;
  private abortListener: (reason: Error) => void = () => undefined;

  constructor(private readonly options: ProgressTimeoutOptions) {
    this.limitTimer = this.abortAfter(options.limitMs, 'no complete reply within');
    this.armStallTimer(options.firstByteMs, 'no reply within');
  }

  /** Whether a part of the response has been received. */
  get responseBegun(): boolean {
    return this.begun;
  }

  /** Sets the function that ends the call; it is called at most once. */
  onAbort(listener: (reason: Error) => void): void {
    this.abortListener = listener;
  }

  /** Records that the head of the response or a chunk of its body was received. */
  recordProgress(): void {
    this.begun = true;
    clearTimeout(this.stallTimer);
    this.armStallTimer(this.options.stallMs, 'reply stalled for');
  }

  abort(reason: Error): void {
    if (!this.aborted) {
      this.aborted = true;
      this.abortListener(reason);
    }
  }

  /** Stops the timers; must be called at the end of the call. */
  clear(): void {
    clearTimeout(this.limitTimer);
    clearTimeout(this.stallTimer);
  }

  private armStallTimer(delayMs: number, detail: string): void {
    this.stallTimer = delayMs < this.options.limitMs ? this.abortAfter(delayMs, detail) : undefined;
  }

  private abortAfter(delayMs: number, detail: string): NodeJS.Timeout {
    return setTimeout(() => {
      this.abort(new Error(`${detail} ${delayMs} ms`));
    }, delayMs);
  }
}
