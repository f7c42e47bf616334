/** Error responses to input that is not a valid request: malformed HTTP, oversized headers, header timeouts. */
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {type Failure, createFailureBody, failureStatus, refusal} from '@marigoldfold/protocol';

const BAD_REQUEST = 400;
const bareStatuses: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Sends an error response for an HTTP parser error and closes the connection. */
export function sendClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = describeClientError(error);
  const status = failureStatus(failure);
  const body = JSON.stringify(createFailureBody(failure, ''));
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
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
    return refusal('headers_too_large', 'the headers are too large');
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return refusal('request_timeout', 'the request did not arrive in time');
  }
  return refusal('bad_request', 'the request is not valid HTTP');
}
