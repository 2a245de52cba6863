import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { SseEvent } from '../sseParser.ts';
import { SseParser } from '../sseParser.ts';

const STREAM = 'data: {"text":"ñandú"}\r\n\r\n: note\n\nevent: error\ndata: a\ndata: b\n\ndata:c\r\r';
const EVENTS: SseEvent[] = [
  { event: 'message', data: '{"text":"ñandú"}' },
  { event: 'error', data: 'a\nb' },
];

// Guards against text that is lost at packet boundaries.
test('any split of the bytes gives the same events', () => {
  const bytes = Buffer.from(STREAM);
  fc.assert(
    fc.property(fc.array(fc.nat(bytes.length), { maxLength: 8 }), (cuts) => {
      const parser = new SseParser(1_000);
      const borders = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      const events = borders.slice(1).flatMap((end, i) => parser.push(bytes.subarray(borders[i], end)));
      assert.deepEqual(events.slice(0, 2), EVENTS);
    }),
    { seed: 1 },
  );
});

// Guards against one event that uses up the memory.
test('an event above the size limit is rejected', () => {
  const parser = new SseParser(100);
  assert.throws(() => parser.push(Buffer.from(`data: ${'x'.repeat(200)}`)));
});
