const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export interface CompleteEvents {
  /** Unmodified bytes of the complete events; empty if there are none. */
  readonly data: Buffer;
  readonly count: number;
  /** Id of the last complete event that has an id. */
  readonly lastEventId: string | undefined;
}

const EMPTY = Buffer.alloc(0);

/**
 * Splits a server-sent event stream at event boundaries. Only complete events are passed on to the caller, so that a
 * stream that is interrupted within an event can resume on another engine without leaving a partial event.
 */
export class EventSplitter {
  private remainder: Buffer = EMPTY;

  push(chunk: Buffer): CompleteEvents {
    const data = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    let start = 0;
    let count = 0;
    let lastEventId: string | undefined;
    for (let end = findEventEnd(data, start); end >= 0; end = findEventEnd(data, start)) {
      lastEventId = readEventId(data.subarray(start, end)) ?? lastEventId;
      count += 1;
      start = end;
    }
    this.remainder = data.subarray(start);
    return { data: data.subarray(0, start), count, lastEventId };
  }

  /** Returns and clears the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const { remainder } = this;
    this.remainder = EMPTY;
    return remainder;
  }
}

/** Returns the index after the blank line that terminates the next event, or -1. */
function findEventEnd(data: Buffer, from: number): number {
  for (let index = data.indexOf(LINE_FEED, from); index >= 0; index = data.indexOf(LINE_FEED, index + 1)) {
    if (data[index + 1] === LINE_FEED) {
      return index + 2;
    }
    if (data[index + 1] === CARRIAGE_RETURN && data[index + 2] === LINE_FEED) {
      return index + 3;
    }
  }
  return -1;
}

function readEventId(event: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'))?.[1];
}
