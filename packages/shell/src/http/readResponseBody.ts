/** Reads a whole response body as text; throws if it exceeds the limit. */
export async function readResponseBody(body: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  for await (const part of body) {
    sizeBytes += part.length;
    if (sizeBytes > maxBytes) {
      throw new Error(`The response is larger than ${maxBytes} bytes.`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}
