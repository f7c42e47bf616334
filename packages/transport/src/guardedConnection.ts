/** One client connection, whose requests are handled one at a time. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {InputTurns} from './inputTurns.js';
import type {MemoryBudget, MemoryHolder} from './memoryBudget.js';
import {type InputSlice, MAX_TURN_BYTES, ReadGate} from './readGate.js';

/**
 * Why a connection is closed: too many connections, too many requests sent ahead, no memory for what was sent ahead or
 * for the connection, eviction by the budget, an invalid request behind others, or a response that is not read.
 */
export type CloseRule =
  | 'connections'
  | 'requests_ahead'
  | 'memory'
  | 'evicted_stalled'
  | 'evicted_share'
  | 'evicted_largest'
  | 'invalid_request_ahead'
  | 'stalled_reader';

/** Dependencies of a {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
  readonly socket: Socket;
  readonly turns: InputTurns;
  readonly budget: Pick<MemoryBudget, 'open'> | undefined;
  /** Called when the handling of a request may begin. */
  readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Called when a request begins after the connection was idle or new. */
  readonly onBusy: () => void;
  readonly onIdle: () => void;
  /** Called when all of a response has been written; the client may not have read it. */
  readonly onResponseEnded: () => void;
  readonly onResponseClosed: () => void;
  /** Called once when the connection is closed, or is to be closed after the response in progress. */
  readonly onClosing: (rule: CloseRule, bytes: number) => void;
}

interface ParsedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Memory that the head occupies, in bytes. */
  readonly headBytes: number;
}

/** Input that is parsed at once where a request may end, in bytes; it holds at most 56 requests. */
const HEAD_SLICE_BYTES = 1024;
const HEAD_SLICE: InputSlice = {bytes: HEAD_SLICE_BYTES, kind: 'head'};
/** The last chunk of a body has the size 0. */
const LAST_CHUNK_START = '\n0';
const ZERO = 0x30;
const LINE_END = 0x0a;
const MAX_WAITING_REQUESTS = 64;
/** Memory that a parsed request occupies with a head of usual size; counted with its connection while it is handled. */
const USUAL_REQUEST_BYTES = 4096;
/** Memory that Node.js occupies for each line of a head beside twice its bytes: two strings and a property; in bytes. */
const HEAD_LINE_BYTES = 96;

/** Whether the last chunk of a chunked body may begin in the input; the line break may precede the input. */
function mayEndBody(input: Buffer): boolean {
  return input[0] === ZERO || input.includes(LAST_CHUNK_START);
}

/** Memory that a part of a head occupies once it is parsed, in bytes. */
function parsedHeadBytes(part: Buffer): number {
  let bytes = 2 * part.length;
  for (let end = part.indexOf(LINE_END); end >= 0; end = part.indexOf(LINE_END, end + 1))
    bytes += HEAD_LINE_BYTES;
  return bytes;
}

/** Feeds the connection's input to the parser and starts its requests in order. */
export class GuardedConnection implements Disposable {
  readonly #options: GuardedConnectionOptions;
  readonly #gate: ReadGate;
  #active: ParsedRequest | undefined;
  readonly #waiting: ParsedRequest[] = [];
  /** Memory of the waiting requests, in bytes. */
  #waitingBytes = 0;
  /** Holds the head of the request in progress if it is larger than usual. */
  #headHolder: MemoryHolder | undefined;
  /** The request that was parsed last; its body may still be arriving. */
  #newest: IncomingMessage | undefined;
  #slice: Buffer | undefined;
  /** Bytes of the body that are still to arrive, at most a head slice too many; not a number for a chunked body. */
  #bodyBytesLeft = 0;
  /** Whether the end of a chunked body may have been parsed in part. */
  #mayBeEnding = false;
  /** Memory of what was parsed since the last request, which the parser may hold as part of a head; in bytes. */
  #headBytes = 0;
  #holder: MemoryHolder | undefined;
  #heldBytes = 0;
  #isClosing = false;

  constructor(options: GuardedConnectionOptions) {
    this.#options = options;
    this.#gate = new ReadGate({
      socket: options.socket,
      turns: options.turns,
      mayParse: () => this.#mayParse,
      chooseSlice: (input) => this.#chooseSlice(input),
      onSlice: (slice) => {
        this.#recordSlice(slice);
      },
      onInput: () => {
        this.#slice = undefined;
        this.#recordHeld();
      },
    });
  }

  /** Whether a response is in progress. */
  get isBusy(): boolean {
    return this.#active !== undefined;
  }

  /** Starts a request that was parsed, once those before it have been answered. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    this.#newest = request;
    const headBytes = this.#headBytes;
    this.#headBytes = 0;
    this.#recordHeld();
    // What the slice holds of the body is not known. It is not subtracted: at worst, a slice more of what follows the
    // body is parsed together with its end.
    this.#bodyBytesLeft = Number(request.headers['content-length'] ?? Number.NaN);
    this.#mayBeEnding =
      Number.isNaN(this.#bodyBytesLeft) && this.#slice !== undefined && mayEndBody(this.#slice);
    if (this.#isClosing) return;
    if (this.#active === undefined) {
      this.#options.onBusy();
      this.#start({request, response, headBytes});
      return;
    }
    this.#waiting.push({request, response, headBytes});
    this.#waitingBytes += Math.max(USUAL_REQUEST_BYTES, headBytes);
    if (this.#waiting.length > MAX_WAITING_REQUESTS) this.close('requests_ahead');
  }

  /** Closes the connection: once the response in progress has ended, or immediately if there is none. */
  close(rule: CloseRule): void {
    if (this.#isClosing) return;
    this.#isClosing = true;
    this.#options.onClosing(rule, this.#heldBytes);
    this.#dropWaiting();
    if (this.#active === undefined) this.#options.socket.destroy();
    // The rest of the body of the request in progress is still read.
    else if (this.#active.request.complete) this.#gate.close();
  }

  /**
   * Handles an error of the parser. Returns false if it concerns the request in progress, or none is; otherwise the
   * connection is closed after the response in progress, since an error response would be taken for it.
   */
  endAfterError(): boolean {
    const {socket} = this.#options;
    if (this.#active?.request.complete !== true || socket.destroyed || socket.errored !== null) {
      return false;
    }
    this.close('invalid_request_ahead');
    return true;
  }

  /** Gives the socket up to the handler of an upgrade; returns input that was received and not parsed. */
  detach(): Buffer {
    // An upgraded connection is never closed as an idle one.
    this.#options.onBusy();
    this.#releaseHolder();
    return this.#gate.detach();
  }

  /** Releases everything when the socket has closed. */
  [Symbol.dispose](): void {
    this.#isClosing = true;
    this.#gate.close();
    this.#dropWaiting();
    this.#releaseHolder();
    this.#headHolder?.[Symbol.dispose]();
  }

  get #mayParse(): boolean {
    // The body of a request that waits is read when the request starts.
    if (this.#newest?.complete === false) return this.#waiting.length === 0;
    return this.#active === undefined && !this.#isClosing;
  }

  #chooseSlice(input: Buffer): InputSlice {
    if (this.#newest?.complete !== false) return HEAD_SLICE;
    if (this.#bodyBytesLeft > HEAD_SLICE_BYTES) {
      return {bytes: this.#bodyBytesLeft, kind: 'plainBody'};
    }
    if (!Number.isNaN(this.#bodyBytesLeft)) return HEAD_SLICE;
    if (this.#mayBeEnding) return {bytes: HEAD_SLICE_BYTES, kind: 'chunkedBody'};
    const window = input.subarray(0, MAX_TURN_BYTES);
    if (!mayEndBody(window)) return {bytes: MAX_TURN_BYTES, kind: 'chunkedBody'};
    const bytes = Math.max(HEAD_SLICE_BYTES, window.indexOf(LAST_CHUNK_START));
    return {bytes, kind: 'chunkedBody'};
  }

  #recordSlice(slice: Buffer): void {
    this.#slice = slice;
    if (this.#newest?.complete !== false) this.#recordHead(slice);
    else if (Number.isNaN(this.#bodyBytesLeft)) this.#mayBeEnding ||= mayEndBody(slice);
    else this.#bodyBytesLeft -= slice.length;
  }

  /** Counts a head while it is parsed, so that one for which there is no room is not parsed to its end. */
  #recordHead(slice: Buffer): void {
    this.#headBytes += parsedHeadBytes(slice);
    if (this.#headBytes > USUAL_REQUEST_BYTES) this.#recordHeld();
  }

  #dropWaiting(): void {
    this.#waiting.length = 0;
    this.#waitingBytes = 0;
  }

  #start(parsed: ParsedRequest): void {
    if (!this.#holdHead(parsed)) {
      this.close('memory');
      return;
    }
    this.#active = parsed;
    const {request, response} = parsed;
    response.on('prefinish', this.#options.onResponseEnded);
    response.on('close', this.#finish);
    this.#options.onRequest(request, response);
  }

  /** Counts the head of a request that is to be handled; false if there is no room for it. */
  #holdHead({request, headBytes}: ParsedRequest): boolean {
    const {budget, socket} = this.#options;
    if (budget === undefined || headBytes <= USUAL_REQUEST_BYTES) return true;
    const holder = budget.open({
      kind: 'head',
      owner: socket.remoteAddress ?? '',
      onEvicted: (rule) => {
        this.#evict(`evicted_${rule}`);
      },
    });
    this.#headHolder = holder;
    // A request that has been read may have been forwarded.
    const pin = () => {
      holder.pin();
    };
    if (request.complete) pin();
    else request.once('end', pin);
    return holder.resize(headBytes);
  }

  readonly #finish = (): void => {
    const {socket, onIdle, onResponseClosed} = this.#options;
    this.#active = undefined;
    this.#headHolder?.[Symbol.dispose]();
    this.#headHolder = undefined;
    onResponseClosed();
    if (socket.destroyed || !socket.writable) {
      this.#isClosing = true;
      this.#dropWaiting();
      return;
    }
    if (this.#isClosing) {
      socket.destroySoon();
      return;
    }
    const next = this.#waiting.shift();
    if (next === undefined) {
      onIdle();
    } else {
      this.#waitingBytes -= Math.max(USUAL_REQUEST_BYTES, next.headBytes);
      this.#start(next);
    }
    this.#recordHeld();
    this.#gate.release();
  };

  /** Counts what the connection holds beside the request in progress. */
  #recordHeld(): void {
    const bytes = this.#gate.keptBytes + this.#headBytes + this.#waitingBytes;
    if (bytes === this.#heldBytes || this.#isClosing) return;
    this.#heldBytes = bytes;
    const {budget, socket} = this.#options;
    if (budget === undefined) return;
    this.#holder ??= budget.open({
      kind: 'readAhead',
      owner: socket.remoteAddress ?? '',
      onEvicted: (rule) => {
        this.#evict(`evicted_${rule}`);
      },
    });
    this.#holder.recordProgress();
    if (!this.#holder.resize(bytes)) this.close('memory');
  }

  #evict(rule: CloseRule): void {
    this.close(rule);
    this.#releaseHolder();
    // Nothing has been forwarded of a request whose body is incomplete.
    if (this.#active?.request.complete === false) this.#options.socket.destroy();
  }

  #releaseHolder(): void {
    this.#holder?.[Symbol.dispose]();
    this.#holder = undefined;
    this.#heldBytes = 0;
  }
}
