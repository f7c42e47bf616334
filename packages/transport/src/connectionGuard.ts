/** Limits what a client connection may do before and between requests. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {type Clock, systemClock} from '@marigoldfold/runtime';
import {endWithoutTunnel, type GuardRefusals} from './clientError.js';
import {ConnectionLimit} from './connectionLimit.js';
import {GuardedConnection, type CloseRule} from './guardedConnection.js';
import {InputTurns} from './inputTurns.js';
import type {MemoryBudget, MemoryHolder} from './memoryBudget.js';
import {UnreadResponses} from './unreadResponses.js';

/** A connection that was closed, or that is closed after the response in progress. */
export interface ClosedConnection {
  readonly rule: CloseRule;
  /** Bytes that were held for it. */
  readonly bytes: number;
  /** Address of the client. */
  readonly owner: string;
}

/** Limits, dependencies and handlers of a {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly clock?: Clock;
  /** Without a budget, nothing is counted. */
  readonly budget?: Pick<MemoryBudget, 'open'> | undefined;
  /** Unlimited by default. */
  readonly maxConnections?: number | undefined;
  /** Largest head, in bytes as they arrive; default 64 KiB. A larger one gets 431. */
  readonly maxHeadBytes?: number | undefined;
  /** JSON bodies of the responses to requests that the guard refuses. */
  readonly refusals?: Partial<GuardRefusals> | undefined;
  /** Time for which a client may read no byte of a response that has ended, in milliseconds. */
  readonly stalledReaderTimeoutMs?: number;
  /** Called for each request once the response to the one before it on its connection has ended. */
  readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
  readonly onUpgrade?:
    ((request: IncomingMessage, socket: Duplex, head: Buffer) => void) | undefined;
  /** Called for an error of a connection that no response in progress concerns; must close the socket. */
  readonly onClientError: (error: NodeJS.ErrnoException, socket: Duplex) => void;
  readonly onConnectionClosed?: ((connection: ClosedConnection) => void) | undefined;
}

const STALLED_READER_TIMEOUT_MS = 30_000;
const MAX_HEAD_BYTES = 65_536;
const defaultRefusals: GuardRefusals = {
  noMemory: JSON.stringify({error: 'memory_exhausted'}),
  headTooLarge: JSON.stringify({error: 'headers_too_large'}),
};
/** Memory that an open connection occupies, with its HTTP parser; in bytes. */
const CONNECTION_BYTES = 8192;

/** Guards the connections of one HTTP server. */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #connections = new WeakMap<Duplex, GuardedConnection>();
  readonly #limit: ConnectionLimit<GuardedConnection>;
  readonly #unread: UnreadResponses;
  readonly #turns = new InputTurns();

  constructor(server: Server, options: ConnectionGuardOptions) {
    this.#options = options;
    const {
      clock = systemClock,
      budget,
      maxConnections = Number.POSITIVE_INFINITY,
      stalledReaderTimeoutMs = STALLED_READER_TIMEOUT_MS,
    } = options;
    this.#limit = new ConnectionLimit(maxConnections);
    this.#unread = new UnreadResponses({
      clock,
      budget,
      stalledReaderTimeoutMs,
      onStalled: (socket, bytes) => {
        this.#report(socket, 'stalled_reader', bytes);
        socket.destroy();
      },
    });
    server.on('connection', (socket) => {
      this.#open(socket);
    });
    server.on('request', (request, response) => {
      this.#connections.get(request.socket)?.accept(request, response);
    });
    server.on('clientError', (error, socket) => {
      const connection = this.#connections.get(socket);
      if (connection?.endAfterError() !== true) options.onClientError(error, socket);
    });
    // The default, which `close` also calls, cuts off responses that have ended and are not written out.
    server.closeIdleConnections = () => {
      for (const connection of this.#limit.idle) connection.closeIfIdle();
    };
    // Node.js closes the connection without a response if nothing handles the event.
    server.on('connect', (_request: IncomingMessage, socket: Duplex) => {
      const connection = this.#connections.get(socket);
      connection?.detach();
      if (connection?.isBusy === true) socket.destroy();
      else endWithoutTunnel(socket);
    });
    if (options.onUpgrade !== undefined) this.#guardUpgrades(server, options.onUpgrade);
  }

  #open(socket: Socket): void {
    const {budget, onRequest, maxHeadBytes = MAX_HEAD_BYTES, refusals} = this.#options;
    const owner = socket.remoteAddress ?? '';
    // An idle connection gives way to others, like a body without progress.
    const holder = budget?.open({
      kind: 'connection',
      owner,
      onEvicted: (rule) => {
        connection.refuse(`evicted_${rule}`);
      },
    });
    const connection: GuardedConnection = new GuardedConnection({
      socket,
      turns: this.#turns,
      budget,
      maxHeadBytes,
      refusals: {...defaultRefusals, ...refusals},
      onRequest,
      onBusy: () => {
        holder?.pin();
        this.#limit.recordRequest(connection);
      },
      onIdle: () => {
        holder?.unpin();
        holder?.recordProgress();
        this.#limit.recordIdle(connection);
      },
      onResponseEnded: () => {
        this.#unread.add(socket);
      },
      onResponseClosed: () => {
        this.#unread.remove(socket);
      },
      onClosing: (rule, bytes) => {
        if (!connection.isBusy) holder?.[Symbol.dispose]();
        this.#report(socket, rule, bytes);
      },
    });
    this.#connections.set(socket, connection);
    socket.once('close', () => {
      this.#unread.remove(socket);
      this.#limit.remove(connection);
      connection[Symbol.dispose]();
      holder?.[Symbol.dispose]();
    });
    this.#limit.add(connection)?.close('connections');
    if (holder !== undefined) this.#makeRoom(connection, holder);
  }

  /** Finds memory for a new connection: longest idle ones are closed for it, or itself if there are none. */
  #makeRoom(connection: GuardedConnection, holder: MemoryHolder): void {
    while (!holder.resize(CONNECTION_BYTES)) {
      const idle = this.#limit.takeLongestIdle(connection);
      idle.refuse('memory');
      if (idle === connection) return;
    }
  }

  #guardUpgrades(
    server: Server,
    onUpgrade: NonNullable<ConnectionGuardOptions['onUpgrade']>,
  ): void {
    server.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      const connection = this.#connections.get(socket);
      const rest = connection?.detach();
      // Its response would mix with the one in progress.
      if (connection?.isBusy === true) socket.destroy();
      else onUpgrade(request, socket, rest === undefined ? head : Buffer.concat([head, rest]));
    });
  }

  #report(socket: Socket, rule: CloseRule, bytes: number): void {
    this.#options.onConnectionClosed?.({rule, bytes, owner: socket.remoteAddress ?? ''});
  }
}
