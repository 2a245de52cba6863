import type { Dispatcher } from 'undici';

/** The process was paused between the core's step and the write of the request (docs/design.md, 5.6). */
export class PausedError extends Error {
  override readonly name = 'PausedError';
}

const CONNECT_ERROR_CODES = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_INVALID_ARG']);

function failedBeforeConnection(cause: unknown): boolean {
  const { code, syscall } = cause as { code?: unknown; syscall?: unknown };
  return syscall === 'connect' || (typeof code === 'string' && CONNECT_ERROR_CODES.has(code));
}

/**
 * Tracks whether a request may have reached the upstream. undici calls onRequestStart once the connection is
 * open, directly before it writes the first byte: the pause check runs there, and from then on bytes count as
 * sent. A second start would be a silent retry on a new connection, so it aborts the request.
 */
export class WriteGuard {
  private started = false;

  constructor(private readonly mayWrite: () => boolean) {}

  /** False only if no byte of the request can have reached the upstream. */
  mayHaveReachedUpstream(cause: unknown, signal: AbortSignal): boolean {
    return this.started || !(cause instanceof PausedError || signal.aborted || failedBeforeConnection(cause));
  }

  readonly intercept: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        handler.onRequestStart?.(controller, context);
        this.handleRequestStart(controller);
      },
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });

  private handleRequestStart(controller: Dispatcher.DispatchController): void {
    if (controller.aborted) {
      return;
    }
    if (this.started) {
      controller.abort(new Error('The connection closed before the response.'));
    } else if (this.mayWrite()) {
      this.started = true;
    } else {
      controller.abort(new PausedError('The process was paused before the request was written.'));
    }
  }
}
