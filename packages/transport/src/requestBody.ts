/** Reads the bodies of requests within limits. */
import type {IncomingMessage} from 'node:http';
import {type Clock, systemClock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {ServerLimits} from './httpServer.js';

/** Limits of one body. */
export type BodyLimits = Pick<ServerLimits, 'maxBodyBytes' | 'requestTimeoutMs'>;

/** Why a body was not read. */
export type BodyError = 'too_large' | 'timed_out' | 'aborted';

/** Time for a sender to notice an early answer before its connection is closed, in milliseconds. */
const LINGER_MS = 2000;

/** Reads a request's body up to a limit. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock = systemClock,
): Promise<Result<Buffer, BodyError>> {
  const body = await collect(request, limits, clock);
  if (body.isErr() && body.error !== 'aborted') linger(request);
  return body;
}

function collect(
  request: IncomingMessage,
  {maxBodyBytes, requestTimeoutMs}: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, BodyError>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
    return Promise.resolve(err('too_large'));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, BodyError>) => {
      timer[Symbol.dispose]();
      request.removeAllListeners('data');
      resolve(result);
    };
    const timer = clock.schedule(requestTimeoutMs, () => {
      finish(err('timed_out'));
    });
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > maxBodyBytes) finish(err('too_large'));
      else parts.push(part);
    });
    request.on('end', () => {
      finish(ok(Buffer.concat(parts)));
    });
    request.on('close', () => {
      finish(err('aborted'));
    });
    request.on('error', () => {
      finish(err('aborted'));
    });
  });
}

/** Discards the rest of a body for a while: closing at once would reset the connection and lose the answer. */
function linger(request: IncomingMessage): void {
  const timer = setTimeout(() => {
    request.socket.destroy();
  }, LINGER_MS);
  const stop = () => {
    clearTimeout(timer);
  };
  request.once('end', stop);
  request.socket.once('close', stop);
  request.resume();
}
