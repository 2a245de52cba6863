import { ByteCollector } from './byteCollector.ts';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export interface CompleteEvents {
  /** Unmodified bytes of the complete events; empty if there are none. */
  readonly data: Buffer;
  readonly count: number;
  /** Id of the last complete event that has an id. */
  readonly lastEventId: string | undefined;
}

/** A blank line between two chunks begins at most this many bytes before the second one: `\n\r` and `\n`. */
const BOUNDARY_OVERLAP_BYTES = 2;

/**
 * Splits a server-sent event stream at event boundaries. Only complete events are passed on to the caller, so that a
 * stream that is interrupted within an event can resume on another engine without leaving a partial event.
 */
export class EventSplitter {
  private readonly incomplete = new ByteCollector();

  /** Size of the event that has not ended yet. */
  get incompleteBytes(): number {
    return this.incomplete.length;
  }

  push(chunk: Buffer): CompleteEvents {
    const searchFrom = Math.max(0, this.incomplete.length - BOUNDARY_OVERLAP_BYTES);
    const continuesEvent = this.incomplete.length > 0;
    if (continuesEvent) {
      this.incomplete.append(chunk);
    }
    const data = continuesEvent ? this.incomplete.bytes : chunk;
    let start = 0;
    let count = 0;
    let lastEventId: string | undefined;
    for (let end = findEventEnd(data, searchFrom); end >= 0; end = findEventEnd(data, start)) {
      lastEventId = readEventId(data.subarray(start, end)) ?? lastEventId;
      count += 1;
      start = end;
    }
    if (count > 0) {
      this.incomplete.take();
    }
    if (count > 0 || !continuesEvent) {
      this.incomplete.append(data.subarray(start));
    }
    return { data: data.subarray(0, start), count, lastEventId };
  }

  /** Returns and clears the bytes after the last complete event. */
  takeRemainder(): Buffer {
    return this.incomplete.take();
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

/** Whether bytes after the last event consist of line ends alone. */
export function isBlank(bytes: Buffer): boolean {
  return bytes.toString('latin1').trim() === '';
}
