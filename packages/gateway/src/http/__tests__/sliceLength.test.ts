import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sliceLength } from '../sliceLength.ts';

const CHUNKED = { remainingBytes: undefined, isFinelyChunked: false };

test('a slice ends with the first request of many (the parser reads all requests of what it gets)', () => {
  const request = 'GET / HTTP/1.1\r\n\r\n';
  assert.equal(sliceLength(Buffer.from(request.repeat(3_000)), undefined), request.length);
  assert.equal(sliceLength(Buffer.from('GET / HTTP/1.1\n\nGET'), undefined), 16);
});

test('a body of known length is handed on whole, and nothing behind it', () => {
  assert.equal(
    sliceLength(Buffer.alloc(50_000, '\n'), { remainingBytes: 40_000, isFinelyChunked: false }),
    40_000,
  );
  assert.equal(
    sliceLength(Buffer.alloc(50_000, '\n'), { remainingBytes: 90_000, isFinelyChunked: false }),
    50_000,
  );
});

test('a slice of a chunked body ends with its last chunk', () => {
  const end = '0\r\n\r\n';
  assert.equal(sliceLength(Buffer.from(`1\r\nx\r\n${end}GET /`), CHUNKED), 11);
});

test('a head without an end is handed on in small slices', () => {
  assert.equal(sliceLength(Buffer.alloc(50_000, 'x'), undefined), 4_096);
});

test('very small chunks are handed on in few at a time (reading them would stop all other connections)', () => {
  const bytes = Buffer.from('1\r\nx\r\n'.repeat(5_000));
  assert.equal(sliceLength(bytes, { ...CHUNKED, isFinelyChunked: true }), 1_024);
  assert.equal(sliceLength(bytes, CHUNKED), 16_384);
});
