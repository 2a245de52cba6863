/** Most bytes of a head that the parser gets at once. */
const MAX_HEAD_SLICE_BYTES = 4_096;

/** Most bytes of a chunked body, with chunks of usual and of very small size: some 170 chunks of one byte. */
const MAX_CHUNKED_SLICE_BYTES = 16_384;
const MAX_FINELY_CHUNKED_SLICE_BYTES = 1_024;

/** The part of a body that is being read on which the length of the next slice depends. */
export interface ArrivingBody {
  /** Bytes until the end of the body; undefined for a chunked one. */
  readonly remainingBytes: number | undefined;
  /** True for a chunked body with very small chunks. */
  readonly isFinelyChunked: boolean;
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
  const limit = Math.min(bytes.length, maxSliceBytes(body));
  const window = bytes.subarray(0, limit);
  const ends = [endOf(window, '\n\r\n'), endOf(window, '\n\n')].filter((end) => end !== undefined);
  return Math.min(limit, ...ends);
}

function maxSliceBytes(body: ArrivingBody | undefined): number {
  if (body === undefined) {
    return MAX_HEAD_SLICE_BYTES;
  }
  return body.isFinelyChunked ? MAX_FINELY_CHUNKED_SLICE_BYTES : MAX_CHUNKED_SLICE_BYTES;
}

function endOf(window: Buffer, blankLine: string): number | undefined {
  const index = window.indexOf(blankLine);
  return index < 0 ? undefined : index + blankLine.length;
}
