/** Endpoints of the fault soak: each reports its runs and can be set to respond incorrectly. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {forwardHeaders} from '@marigoldfold/entry';
import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import type {Random} from '@marigoldfold/runtime';
import {responseBody} from './history.js';
import type {AcceptQueue, InputDelay} from './inputDelay.js';

/** How an endpoint responds; `well` is the correct behaviour. */
export type EndpointBehaviour =
  | 'well'
  | 'garbage'
  | 'extraAnswer'
  | 'halfAnswer'
  | 'full'
  | 'resetAfterRun'
  | 'endlessHead'
  | 'endlessBody';

const STREAM_EVENTS = 12;
const EVENT_INTERVAL_MS = 15;
const MAX_WORK_MS = 40;
/** Size of each write of an endless header or body. */
const FLOOD_BYTES = 16_384;

/** A request that an endpoint has begun to run. */
export interface StartedRun {
  readonly endpoint: string;
  readonly id: string;
  /** Account that the router assigned to the caller. */
  readonly account: string;
  /** Port from which the request came. */
  readonly port: number | undefined;
  /** Longest time in milliseconds for which the request may have waited until its connection was accepted. */
  readonly waitMs: number;
}

/** Random generator of an endpoint, measurement of its input, and callbacks that report its runs. */
export interface SoakEndpointOptions {
  readonly random: Random;
  readonly inputDelay: InputDelay;
  /** Called at the start of a run. */
  readonly onRun: (run: StartedRun) => void;
  /** Called for each part of a response that is written while a run continues. */
  readonly onWorkContinued: (id: string) => void;
}

/** An HTTP endpoint on a free loopback port, with a behaviour that can be changed while it runs. */
export class SoakEndpoint implements Disposable {
  readonly #options: SoakEndpointOptions;
  readonly #server: Server;
  readonly #acceptQueue: AcceptQueue;
  /** Longest waits in milliseconds of connections on which no request was read yet. */
  readonly #waitsMs = new WeakMap<Socket, number>();
  /** Id under which the endpoint is registered now; empty before the first registration. */
  id = '';
  behaviour: EndpointBehaviour = 'well';
  /** Limit that responses state, in requests per second. */
  limitPerSecond: number | undefined;
  address = '';
  #silentUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: SoakEndpointOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        this.#serve(request, response);
      });
    });
    this.#server.on('connection', (socket) => {
      this.#waitsMs.set(socket, this.#acceptQueue.waitMs);
    });
    this.#acceptQueue = options.inputDelay.watch(this.#server);
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const address = this.#server.address();
    this.address = typeof address === 'object' ? `127.0.0.1:${address?.port}` : '';
  }

  /** Lets all streams be silent for a time, in milliseconds, as an engine does that has preempted them. */
  preemptStreams(durationMs: number): void {
    this.#silentUntilMs = performance.now() + durationMs;
  }

  [Symbol.dispose](): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const id = header(request, forwardHeaders.requestId);
    if (header(request, forwardHeaders.endpointId) !== this.id) {
      response.writeHead(421, {[forwardHeaders.requestId]: id}).end();
      return;
    }
    if (this.behaviour === 'full') {
      const headers = {...this.#noticeHeaders(id), [forwardHeaders.notExecuted]: 'full'};
      response.writeHead(503, headers).end();
      return;
    }
    const {id: endpoint} = this;
    const {socket} = request;
    this.#options.onRun({
      endpoint,
      id,
      account: header(request, forwardHeaders.account),
      port: socket.remotePort,
      waitMs: this.#waitsMs.get(socket) ?? 0,
    });
    this.#waitsMs.delete(socket);
    if (request.url?.startsWith('/stream/') === true) void this.#stream(request, response, id);
    else
      setTimeout(() => {
        this.#respond(response, id, endpoint);
      }, MAX_WORK_MS * this.#options.random());
  }

  #respond(response: ServerResponse, id: string, endpoint: string): void {
    const {socket} = response;
    const body = responseBody(id, endpoint);
    const headers = {...this.#identityHeaders(id), 'content-length': String(body.length)};
    switch (this.behaviour) {
      case 'garbage':
        socket?.end('this is no answer\r\n\r\n');
        return;
      case 'resetAfterRun':
        socket?.resetAndDestroy();
        return;
      case 'halfAnswer':
        response.writeHead(200, headers);
        response.write(body.slice(0, 100));
        setTimeout(() => socket?.destroy(), 5);
        return;
      case 'extraAnswer': {
        response.writeHead(200, headers).end(body);
        const extra = `HTTP/1.1 200 OK\r\ncontent-length: 5\r\n${forwardHeaders.requestId}: old\r\n\r\nextra`;
        setTimeout(() => socket?.write(extra), 3);
        return;
      }
      case 'endlessHead':
        if (socket !== null) this.#flood(socket, id, 'HTTP/1.1 103 Early Hints\r\n\r\n');
        return;
      case 'endlessBody':
        response.writeHead(500, this.#identityHeaders(id));
        this.#flood(response, id, 'z');
        return;
      case 'full':
      case 'well':
        response.writeHead(200, headers).end(body);
    }
  }

  #identityHeaders(id: string): Record<string, string> {
    return {...this.#noticeHeaders(id), [forwardHeaders.signature]: 'soak'};
  }

  /** Headers of all responses, refusals included. */
  #noticeHeaders(id: string): Record<string, string> {
    const limit = this.limitPerSecond;
    const limitHeader = limit === undefined ? {} : {[forwardHeaders.limit]: String(limit)};
    return {[forwardHeaders.requestId]: id, ...limitHeader};
  }

  /** Writes the same bytes repeatedly until the connection is closed. */
  #flood(to: Writable, id: string, bytes: string): void {
    const part = bytes.repeat(Math.ceil(FLOOD_BYTES / bytes.length));
    const writeNext = () => {
      if (to.destroyed) return;
      this.#options.onWorkContinued(id);
      to.write(part);
      setTimeout(writeNext, EVENT_INTERVAL_MS);
    };
    to.on('error', () => undefined);
    writeNext();
  }

  async #stream(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    response.writeHead(200, {...this.#identityHeaders(id), 'content-type': 'text/event-stream'});
    const cutAtEvent =
      this.behaviour === 'halfAnswer' ? 1 + Math.floor(this.#options.random() * STREAM_EVENTS) : 0;
    const from = Number(header(request, forwardHeaders.lastEventId) || 0) + 1;
    for (let number = from; number <= STREAM_EVENTS; number += 1) {
      const silentMs = Math.max(0, this.#silentUntilMs - performance.now());
      await new Promise((resolve) => setTimeout(resolve, EVENT_INTERVAL_MS + silentMs));
      if (response.destroyed) return;
      this.#options.onWorkContinued(id);
      const data = number === STREAM_EVENTS ? `end of ${id}` : `part ${number}`;
      const event = `id: ${number}\ndata: ${data}\n\n`;
      if (number === cutAtEvent) {
        response.write(event.slice(0, 9));
        setTimeout(() => response.socket?.destroy(), 3);
        return;
      }
      response.write(event);
    }
    response.end();
  }
}

function header(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
