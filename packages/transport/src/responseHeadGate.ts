/** Passes the head of a response on to the HTTP parser only when all of it has arrived. */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {HeadCollector} from './headCollector.js';

/** Largest head of a response, in bytes as they arrive. */
export const MAX_RESPONSE_HEAD_BYTES = 65_536;
/** Input that is parsed at once, so that one that is no response is recognized; in bytes. */
const HEAD_START_BYTES = 256;

/** Collects the heads of the responses to a request; one that is too large ends the request with an error. */
export function collectResponseHead(outgoing: ClientRequest): void {
  let message: IncomingMessage | undefined;
  outgoing.on('response', (response) => {
    message = response;
  });
  outgoing.once('socket', (socket) => {
    const [parse] = socket.listeners('data') as ((this: Socket, chunk: Buffer) => void)[];
    if (parse === undefined) return;
    const head = new HeadCollector();
    let startBytesLeft = HEAD_START_BYTES;
    /** Returns what may be parsed now. */
    const collect = (chunk: Buffer): Buffer | undefined => {
      if (head.findEnd(chunk) !== undefined) {
        const input = head.complete(chunk);
        head.recordParsed(chunk);
        return input;
      }
      const start = chunk.subarray(0, startBytesLeft);
      const rest = chunk.subarray(start.length);
      startBytesLeft -= start.length;
      head.recordParsed(start);
      if (rest.length > 0) head.add(rest);
      return start.length > 0 ? start : undefined;
    };
    const receive = (chunk: Buffer) => {
      const input = collect(chunk);
      if (input !== undefined) parse.call(socket, input);
      if (head.size > MAX_RESPONSE_HEAD_BYTES)
        outgoing.destroy(new Error(`response head over ${MAX_RESPONSE_HEAD_BYTES} bytes`));
      if (message === undefined) return;
      // The parser has left the socket if the response is complete.
      socket.off('data', receive);
      if (!message.complete) socket.on('data', parse);
    };
    socket.off('data', parse);
    socket.on('data', receive);
    outgoing.once('close', () => {
      socket.off('data', receive);
    });
  });
}
