/** Responses that are sent before the whole request has been read. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time for a client to read an early response before its connection is closed. */
export const DISCARD_LIMIT_MS = 2000;
/**
 * Bytes of a request that are read and discarded after an early response. Without a limit, the buffers of many refused
 * uploads occupy more memory than the budget until they are collected.
 */
export const DISCARD_LIMIT_BYTES = 262_144;

/**
 * Sends the body of a response with which the connection closes. While the rest of the request is being discarded, the
 * connection stays open, since closing it would reset it and lose the response.
 */
export function endAfterRequest(response: ServerResponse, body: string): void {
  const {req: request} = response;
  if (request.complete || request.readableFlowing !== true) {
    response.end(body);
    return;
  }
  response.write(body);
  request.once('end', () => response.end());
}

/**
 * Discards the rest of a body for up to 2 seconds, as far as the limit allows. Closing immediately would reset the
 * connection and lose the response; a rest that is known to exceed the limit is not read at all.
 */
export function discardRemainder(request: IncomingMessage, missingBytes: number): void {
  const timer = setTimeout(() => {
    request.socket.destroy();
  }, DISCARD_LIMIT_MS);
  const stop = () => {
    clearTimeout(timer);
  };
  request.once('end', stop);
  request.socket.once('close', stop);
  if (missingBytes > DISCARD_LIMIT_BYTES) {
    request.pause();
    return;
  }
  let discardedBytes = 0;
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes >= DISCARD_LIMIT_BYTES) request.pause();
  });
  request.resume();
}
