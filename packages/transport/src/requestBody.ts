/** Reads request bodies within size and time limits. */
import type {IncomingMessage} from 'node:http';
import {type Clock, systemClock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {ServerLimits} from './httpServer.js';

/** Size and time limits of one request body. */
export type BodyLimits = Pick<ServerLimits, 'maxBodyBytes' | 'requestTimeoutMs'>;

/** Why a body could not be read; `aborted` means that the connection closed. */
export type BodyError = 'too_large' | 'timed_out' | 'aborted';

/** Time for a client to read an early response before its connection is closed. */
const DISCARD_LIMIT_MS = 2000;

/** Reads the whole body; on an error the handler can still send a response. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock = systemClock,
): Promise<Result<Buffer, BodyError>> {
  const body = await collectBody(request, limits, clock);
  if (body.isErr() && body.error !== 'aborted') discardRemainder(request);
  return body;
}

function collectBody(
  request: IncomingMessage,
  {maxBodyBytes, requestTimeoutMs}: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, BodyError>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
    return Promise.resolve(err('too_large'));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, BodyError>) => {
      timer[Symbol.dispose]();
      request.removeAllListeners('data');
      resolve(result);
    };
    const timer = clock.schedule(requestTimeoutMs, () => {
      finish(err('timed_out'));
    });
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBodyBytes) finish(err('too_large'));
      else chunks.push(chunk);
    });
    request.on('end', () => {
      finish(ok(Buffer.concat(chunks)));
    });
    request.on('close', () => {
      finish(err('aborted'));
    });
    request.on('error', () => {
      finish(err('aborted'));
    });
  });
}

/**
 * Discards the rest of a body for up to 2 seconds. Closing immediately would reset the connection and lose the
 * response.
 */
function discardRemainder(request: IncomingMessage): void {
  const timer = setTimeout(() => {
    request.socket.destroy();
  }, DISCARD_LIMIT_MS);
  const stop = () => {
    clearTimeout(timer);
  };
  request.once('end', stop);
  request.socket.once('close', stop);
  request.resume();
}
