/** Most bytes of a head that the parser gets at once. */
const MAX_HEAD_SLICE_BYTES = 4_096;

/** The part of a body that is being read on which the length of the next slice depends. */
export interface ArrivingBody {
  /** Bytes until the end of the body; undefined for a chunked one. */
  readonly remainingBytes: number | undefined;
}

/**
 * Returns how many of the received bytes the parser may get at once, so that they complete at most one request (two if a
 * blank line began in the bytes before): up to the end of a body of known length, otherwise up to a blank line. Handles
 * callers that pipeline thousands of small requests, which the parser would all read from one chunk.
 */
export function sliceLength(bytes: Buffer, body: ArrivingBody | undefined): number {
  if (body?.remainingBytes !== undefined && body.remainingBytes > 0) {
    return Math.min(bytes.length, body.remainingBytes);
  }
  const limit = body === undefined ? Math.min(bytes.length, MAX_HEAD_SLICE_BYTES) : bytes.length;
  const window = bytes.subarray(0, limit);
  const ends = [endOf(window, '\n\r\n'), endOf(window, '\n\n')].filter((end) => end !== undefined);
  return Math.min(limit, ...ends);
}

function endOf(window: Buffer, blankLine: string): number | undefined {
  const index = window.indexOf(blankLine);
  return index < 0 ? undefined : index + blankLine.length;
}
