/** Error responses to input that is not a valid request: malformed HTTP, oversized headers, header timeouts. */
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {type Failure, createFailureBody, failureStatus, refusal} from '@marigoldfold/protocol';

const BAD_REQUEST = 400;
const HEAD_TOO_LARGE = 431;
const NOT_IMPLEMENTED = 501;
const UNAVAILABLE = 503;
/** Value of `retry-after` for a request for which there is no memory, in seconds. */
const NO_MEMORY_RETRY_AFTER_S = 1;
const bareStatuses: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: HEAD_TOO_LARGE,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** JSON bodies of the responses to requests that a guard refuses before they are handled. */
export interface GuardRefusals {
  /** Sent with 503. */
  readonly noMemory: string;
  /** Sent with 431. */
  readonly headTooLarge: string;
}

/** Failure of a request whose head exceeds the limit. */
export const headTooLarge = refusal('headers_too_large', 'the headers are too large');

/** Sends an error response for an HTTP parser error and closes the connection. */
export function sendClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = describeClientError(error);
  const body = JSON.stringify(createFailureBody(failure, ''));
  socket.end(formatLastResponse(failureStatus(failure), body));
}

/** The 503 to a request for which there is no memory, as it is sent; the body is JSON. */
export function formatNoMemory(body: string): string {
  return formatLastResponse(UNAVAILABLE, body, [`retry-after: ${NO_MEMORY_RETRY_AFTER_S}`]);
}

/** The 431 to a request whose head is too large, as it is sent; the body is JSON. */
export function formatHeadTooLarge(body: string): string {
  return formatLastResponse(HEAD_TOO_LARGE, body);
}

/** Sends 501 to a request for a tunnel, and closes the connection. */
export function endWithoutTunnel(socket: Duplex): void {
  // The client may reset the connection before the response is written.
  socket.on('error', () => undefined);
  socket.end(
    formatLastResponse(NOT_IMPLEMENTED, JSON.stringify({error: 'not_implemented'})),
    () => {
      socket.destroy();
    },
  );
}

/** A response after which the connection closes. */
function formatLastResponse(status: number, body: string, lines: readonly string[] = []): string {
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    ...lines,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** Sends the response without a body that `http.Server` sends by default, and closes the connection. */
export function sendBareClientError(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  isResponseStarted: boolean,
): void {
  if (socket.writable && !isResponseStarted) {
    const status = bareStatuses[error.code ?? ''] ?? BAD_REQUEST;
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}

function describeClientError(error: NodeJS.ErrnoException): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return headTooLarge;
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return refusal('request_timeout', 'the request did not arrive in time');
  }
  return refusal('bad_request', 'the request is not valid HTTP');
}
