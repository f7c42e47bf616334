/** Reads the whole body of a client's request. */
import type {IncomingMessage} from 'node:http';

/** Reads a body up to a limit in bytes. */
export function readRequestBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | 'too_large' | 'aborted'> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return Promise.resolve('too_large');
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > limitBytes) resolve('too_large');
      else parts.push(part);
    });
    request.on('end', () => {
      resolve(parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts));
    });
    request.on('close', () => {
      resolve('aborted');
    });
    request.on('error', () => {
      resolve('aborted');
    });
  });
}
