// Stand-in of a client: one request on a new connection, or on a connection that it keeps open.
import { Agent, request as send } from 'node:http';
import { randomBytes } from 'node:crypto';

export const newAttemptId = () => randomBytes(8).toString('hex');

/** Resolves with what the client saw; `complete` is true only if the answer looks whole. */
export function call(address, options) {
  const { path, host, method = 'GET', body, deadlineMs = 8000, headers = {}, agent } = options;
  const { attemptId = newAttemptId() } = options;
  const [hostName, port] = address.split(':');
  return new Promise((resolve) => {
    const seen = { attemptId, status: undefined, headers: {}, body: '', complete: false, error: undefined };
    const finish = () => {
      clearTimeout(timer);
      resolve(seen);
    };
    const request = send(
      {
        host: hostName,
        port: Number(port),
        method,
        path,
        agent: agent ?? new Agent({ keepAlive: false }),
        headers: { Host: host, 'X-Attempt-Id': attemptId, 'X-Deadline-Ms': String(deadlineMs), ...headers },
      },
      (response) => {
        seen.status = response.statusCode;
        seen.headers = response.headers;
        response.setEncoding('latin1');
        response.on('data', (chunk) => {
          seen.body += chunk;
          options.onData?.(seen.body);
        });
        response.on('end', () => {
          seen.complete = response.complete;
          finish();
        });
        response.on('error', (cause) => {
          seen.error = cause.code ?? String(cause);
        });
        response.on('close', finish);
      },
    );
    request.on('error', (cause) => {
      seen.error ??= cause.code ?? String(cause);
      finish();
    });
    const timer = setTimeout(() => {
      seen.error ??= 'deadline of the client';
      request.destroy();
    }, deadlineMs);
    request.end(body);
  });
}
