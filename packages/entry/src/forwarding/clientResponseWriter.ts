/** The answer to one client: refusals, whole answers and streams, each begun at most once. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {drained} from '@marigoldfold/transport';
import {endToEndHeaders} from './endToEndHeaders.js';

const MS_PER_SECOND = 1000;

/** Writes the answer to a client. */
export class ClientResponseWriter {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
    response.sendDate = false;
  }

  /** Whether the client has been sent any part of an answer. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the connection is gone. */
  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  /** Sends an answer of the router's own. */
  sendError(status: number, reason: string, retryAfterMs?: number): void {
    if (this.hasStarted || this.isDisconnected) return;
    const body = JSON.stringify({error: reason});
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)];
    if (retryAfterMs !== undefined) {
      headers.push('retry-after', String(retryAfterMs / MS_PER_SECOND));
    }
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /** Sends an endpoint's answer that has arrived whole. */
  sendBuffered(answer: IncomingMessage, body: Buffer): void {
    if (this.isDisconnected) return;
    const headers = endToEndHeaders(answer.rawHeaders);
    headers.push('content-length', String(body.length));
    this.#response.writeHead(answer.statusCode ?? 0, answer.statusMessage, headers);
    this.#response.end(body);
  }

  /** Sends the head of an endpoint's answer whose body follows in parts. */
  sendHead(answer: IncomingMessage): void {
    if (this.hasStarted || this.isDisconnected) return;
    const headers = endToEndHeaders(answer.rawHeaders);
    this.#response.writeHead(answer.statusCode ?? 0, answer.statusMessage, headers);
  }

  /** Sends bytes; resolves at once unless the client does not read, and then until the signal is aborted. */
  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (this.isDisconnected || this.#response.write(bytes)) return;
    await drained(this.#response, {signal});
  }

  /** Ends a stream as complete. */
  end(): void {
    if (!this.isDisconnected) this.#response.end();
  }

  /** Breaks off an answer so that it does not look complete. */
  abort(): void {
    this.#response.destroy();
  }
}
