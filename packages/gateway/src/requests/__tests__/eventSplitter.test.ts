import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventSplitter } from '../eventSplitter.ts';

test('events are emitted unmodified for any chunk boundaries', () => {
  const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weight-versions: 3\nid: 3\ndata: c\n\n';
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 10 }), (cuts) => {
      const splitter = new EventSplitter();
      const boundaries = [0, ...cuts.sort((a, b) => a - b), stream.length];
      let text = '';
      let count = 0;
      let lastEventId: string | undefined;
      boundaries.slice(1).forEach((end, index) => {
        const split = splitter.push(Buffer.from(stream.slice(boundaries[index], end)));
        text += split.data.toString();
        count += split.count;
        lastEventId = split.lastEventId ?? lastEventId;
      });
      assert.equal(text + splitter.takeRemainder().toString(), stream);
      assert.equal(count, 3);
      assert.equal(lastEventId, '3');
    }),
    { seed: 7 },
  );
});

test('a partial event is not emitted', () => {
  const splitter = new EventSplitter();
  const split = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata'));
  assert.equal(split.data.toString(), 'id: 1\ndata: a\n\n');
  assert.equal(split.lastEventId, '1');
});
