/** Writes the response to a client and sends its head at most once. */
import type {ServerResponse} from 'node:http';
import {endAfterRequest, joinHead, type ResponseHead, waitForDrain} from '@marigoldfold/transport';
import {endToEndHeaders} from './endToEndHeaders.js';

const MS_PER_SECOND = 1000;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Writes errors, buffered responses and streams; does nothing once the client has disconnected. */
export class ClientResponseWriter {
  readonly #response: ServerResponse;
  readonly #endToEndNames: readonly string[];
  /** `content-type` of the endpoint's response whose head was sent. */
  contentType: string | undefined;

  /** The names are those of endpoints' headers that a client needs, in lower case. */
  constructor(response: ServerResponse, endToEndNames: readonly string[] = []) {
    this.#response = response;
    this.#endToEndNames = endToEndNames;
    response.sendDate = false;
  }

  /** Whether the response head has been sent. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the client's connection is closed. */
  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  /** Sends an error of the router as JSON, unless a response head has been sent. */
  sendError(status: number, reason: string, retryAfterMs?: number, closesConnection = false): void {
    if (this.hasStarted || this.isDisconnected) return;
    const body = JSON.stringify({error: reason});
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)];
    if (retryAfterMs !== undefined) {
      headers.push('retry-after', String(retryAfterMs / MS_PER_SECOND));
    }
    if (closesConnection) headers.push('connection', 'close');
    this.#response.writeHead(status, headers);
    if (closesConnection) endAfterRequest(this.#response, body);
    else this.#response.end(body);
  }

  /** Sends an endpoint's response with its complete body, unless a response head has been sent. */
  sendBuffered(
    {status, reason, lines, headers: fields}: ResponseHead,
    body: readonly Buffer[],
  ): void {
    if (this.hasStarted || this.isDisconnected) return;
    const headers = endToEndHeaders(lines.toArray(), this.#endToEndNames);
    const length = this.#mayHaveBody(status)
      ? String(body.reduce((sum, chunk) => sum + chunk.length, 0))
      : fields['content-length'];
    if (length !== undefined) headers.push('content-length', length);
    this.#response.writeHead(status, reason, headers);
    joinHead(this.#response);
    for (const chunk of body.slice(0, -1)) this.#response.write(chunk);
    this.#response.end(body.at(-1));
  }

  /** Whether a response has a body; the length of one that has none is that of another response, if it is stated. */
  #mayHaveBody(status: number): boolean {
    return this.#response.req.method !== 'HEAD' && !bodilessStatuses.has(status);
  }

  /** Sends the head of an endpoint's response, unless one has been sent; the body follows with `write`. */
  sendHead({status, reason, lines, headers}: ResponseHead): void {
    if (this.hasStarted || this.isDisconnected) return;
    this.contentType = headers['content-type'];
    const kept = endToEndHeaders(lines.toArray(), this.#endToEndNames);
    this.#response.writeHead(status, reason, kept);
    joinHead(this.#response);
  }

  /** Writes bytes; on backpressure, waits until the client has read them or the signal is aborted. */
  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (this.isDisconnected || this.#response.write(bytes)) return;
    await waitForDrain(this.#response, {signal});
  }

  /** Ends the response, so that the client recognizes it as complete. */
  end(): void {
    if (!this.isDisconnected) this.#response.end();
  }

  /** Closes the connection, so that the client recognizes the response as incomplete. */
  abort(): void {
    this.#response.destroy();
  }
}
