export interface SseEvent {
  readonly event: string;
  readonly data: string;
}

/** Incremental parser for server-sent event streams that limits the size of one event. */
export class SseParser {
  private readonly decoder = new TextDecoder();
  private incompleteLine = '';
  private event = 'message';
  private data: string[] = [];
  private eventSizeChars = 0;

  constructor(private readonly maxEventChars: number) {}

  /** Returns the events that this part completes. Throws if an event exceeds the limit. */
  push(part: Uint8Array): SseEvent[] {
    const lines = (this.incompleteLine + this.decoder.decode(part, { stream: true })).split(
      /\r\n|\n|\r(?!$)/,
    );
    this.incompleteLine = lines.pop() ?? '';
    const events: SseEvent[] = [];
    for (const line of lines) {
      this.processLine(line, events);
    }
    if (this.eventSizeChars + this.incompleteLine.length > this.maxEventChars) {
      throw new Error(`An event in the stream is larger than ${this.maxEventChars} characters.`);
    }
    return events;
  }

  private processLine(line: string, events: SseEvent[]): void {
    if (line === '') {
      if (this.data.length > 0) {
        events.push({ event: this.event, data: this.data.join('\n') });
      }
      this.event = 'message';
      this.data = [];
      this.eventSizeChars = 0;
      return;
    }
    this.eventSizeChars += line.length;
    const [, field, value] = /^([^:]*):? ?(.*)$/.exec(line) ?? [];
    if (field === 'data') {
      this.data.push(value ?? '');
    } else if (field === 'event') {
      this.event = value ?? '';
    }
  }
}
