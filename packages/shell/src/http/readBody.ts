import type { IncomingMessage } from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export enum BodyError {
  TooLarge = 'tooLarge',
  NotUtf8 = 'notUtf8',
  Encoded = 'encoded',
  Aborted = 'aborted',
}

const UTF8_DECODER = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

function decode(parts: readonly Buffer[]): Result<string, BodyError> {
  try {
    return ok(UTF8_DECODER.decode(Buffer.concat(parts)));
  } catch {
    return err(BodyError.NotUtf8);
  }
}

/** Reads a request body as text, up to the size limit. The promise never rejects. */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<Result<string, BodyError>> {
  const encoding = request.headers['content-encoding'] ?? 'identity';
  if (encoding !== 'identity') {
    return Promise.resolve(err(BodyError.Encoded));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (part: Buffer) => {
      sizeBytes += part.length;
      if (sizeBytes > maxBytes) {
        request.pause();
        resolve(err(BodyError.TooLarge));
        return;
      }
      parts.push(part);
    });
    request.on('end', () => {
      resolve(decode(parts));
    });
    request.on('close', () => {
      resolve(err(BodyError.Aborted));
    });
    request.on('error', () => {
      resolve(err(BodyError.Aborted));
    });
  });
}
