/** One client connection, whose requests are handled one at a time. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {formatHeadTooLarge, formatNoMemory, type GuardRefusals} from './clientError.js';
import {CompactRequest, CountedRequest} from './compactRequest.js';
import {DISCARD_LIMIT_MS} from './earlyResponse.js';
import {HeadCollector} from './headCollector.js';
import {
  beginsHead,
  findLastChunk,
  HEAD_COPIES,
  HEAD_SLICE,
  HEAD_SLICE_BYTES,
  HEAD_START,
  mayEndBody,
  parsedHeadBytes,
  wholeHeadBytes,
} from './inputSlices.js';
import type {InputTurns} from './inputTurns.js';
import type {MemoryBudget, MemoryHolder} from './memoryBudget.js';
import {type InputSlice, MAX_TURN_BYTES, ReadGate} from './readGate.js';

/**
 * Why a connection is closed: too many connections, too many requests sent ahead, no memory for what was sent ahead or
 * for the connection, eviction by the budget, an invalid request behind others, a head that is too large, or a response
 * that is not read.
 */
export type CloseRule =
  | 'connections'
  | 'requests_ahead'
  | 'memory'
  | 'evicted_stalled'
  | 'evicted_share'
  | 'evicted_largest'
  | 'invalid_request_ahead'
  | 'head_too_large'
  | 'stalled_reader';

/** Dependencies of a {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
  readonly socket: Socket;
  readonly turns: InputTurns;
  readonly budget: Pick<MemoryBudget, 'open'> | undefined;
  /** Largest head, in bytes as they arrive. */
  readonly maxHeadBytes: number;
  readonly refusals: GuardRefusals;
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

const MAX_WAITING_REQUESTS = 64;
/** Memory that a parsed request occupies with a head of usual size; counted with its connection while it is handled. */
const USUAL_REQUEST_BYTES = 4096;
const EMPTY = Buffer.alloc(0);

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
  /** Input of a head that is not parsed before all of it has arrived. */
  readonly #head = new HeadCollector();
  /** Whether the parser has seen the first byte of the head that arrives. */
  #hasBegunHead = false;
  /** Memory of the trailers of the body that arrives, in bytes. */
  #trailerBytes = 0;
  /** Size of that body without its framing before the last input, in bytes. */
  #bodyBytes = 0;
  /** Whether the request that arrives next is to be refused once the response in progress has ended. */
  #isNextRefused = false;
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
      onSlice: (slice, kind) => this.#recordSlice(slice, kind),
      onParsed: (input) => {
        this.#recordTrailers(input);
      },
      onHeadPart: (part) => {
        this.#head.add(part);
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
    this.#hasBegunHead = false;
    const headBytes =
      request instanceof CompactRequest
        ? HEAD_COPIES * request.headBytes
        : parsedHeadBytes(this.#slice ?? EMPTY);
    this.#recordHeld();
    // Where the slice has more than the head, what it holds of the body is not known. It is not subtracted: at worst, a
    // slice more of what follows the body is parsed together with its end.
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
    this.#beginClosing(rule);
    if (this.#active === undefined) this.#options.socket.destroy();
    // The rest of the body of the request in progress is still read.
    else if (this.#active.request.complete) this.#gate.close();
  }

  /** Answers the request that arrives, or waits, with 503, after the response in progress, and closes the connection. */
  refuse(rule: CloseRule): void {
    if (this.#isClosing) return;
    const active = this.#active;
    const hasNext = this.#hasNext;
    this.#beginClosing(rule);
    if (active === undefined) {
      if (hasNext) this.#sendRefusal();
      else this.#options.socket.destroy();
    } else if (active.request.complete) {
      this.#isNextRefused = hasNext;
      this.#gate.close();
    } else if (active.response.headersSent) {
      this.#options.socket.destroy();
    } else {
      // Nothing has been forwarded of a request whose body is incomplete.
      this.#sendRefusal();
    }
  }

  /** Closes the connection unless a response is not written out, or a request has arrived in part. */
  closeIfIdle(): void {
    if (!this.isBusy && !this.#hasBegunHead && !this.#hasNext) this.#options.socket.destroy();
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
    if (this.#newest?.complete !== false) return this.#chooseHeadSlice(input);
    if (this.#bodyBytesLeft > HEAD_SLICE_BYTES) {
      return {bytes: this.#bodyBytesLeft, kind: 'plainBody'};
    }
    if (!Number.isNaN(this.#bodyBytesLeft)) return HEAD_SLICE;
    if (this.#mayBeEnding) return {bytes: HEAD_SLICE_BYTES, kind: 'chunkedBody'};
    const window = input.subarray(0, MAX_TURN_BYTES);
    if (!mayEndBody(window)) return {bytes: MAX_TURN_BYTES, kind: 'chunkedBody'};
    const bytes = Math.max(HEAD_SLICE_BYTES, findLastChunk(window));
    return {bytes, kind: 'chunkedBody'};
  }

  #chooseHeadSlice(input: Buffer): InputSlice {
    const bytes = this.#head.findEnd(input);
    if (this.#head.size + (bytes ?? input.length) > this.#options.maxHeadBytes) {
      this.#beginClosing('head_too_large');
      this.#sendLast(formatHeadTooLarge(this.#options.refusals.headTooLarge));
      return HEAD_START;
    }
    if (bytes !== undefined) {
      const isLong = this.#head.size > 0 || bytes > HEAD_SLICE_BYTES;
      return isLong ? {bytes, kind: 'longHead'} : {bytes: wholeHeadBytes(input), kind: 'head'};
    }
    return this.#hasBegunHead ? {bytes: input.length, kind: 'headPart'} : HEAD_START;
  }

  #recordSlice(slice: Buffer, kind: InputSlice['kind']): Buffer {
    const input = kind === 'longHead' ? this.#head.complete(slice) : slice;
    this.#head.recordParsed(slice);
    this.#slice = input;
    if (this.#newest?.complete !== false) this.#hasBegunHead ||= beginsHead(slice);
    else if (Number.isNaN(this.#bodyBytesLeft)) this.#mayBeEnding ||= mayEndBody(slice);
    else this.#bodyBytesLeft -= slice.length;
    return input;
  }

  /** Counts input behind the last data of a chunked body, which the parser keeps until the body ends. */
  #recordTrailers(input: Buffer): void {
    const request = this.#newest;
    if (!(request instanceof CountedRequest)) return;
    const isTrailer =
      this.#mayBeEnding && !request.complete && request.bodyBytes === this.#bodyBytes;
    this.#bodyBytes = request.bodyBytes;
    this.#trailerBytes = isTrailer ? this.#trailerBytes + parsedHeadBytes(input) : 0;
  }

  /** Whether a request has arrived in part, or waits for the one in progress. */
  get #hasNext(): boolean {
    return this.#head.size + this.#gate.keptBytes + this.#waiting.length > 0;
  }

  #beginClosing(rule: CloseRule): void {
    this.#isClosing = true;
    this.#options.onClosing(rule, this.#heldBytes);
    this.#dropWaiting();
  }

  #sendRefusal(): void {
    this.#sendLast(formatNoMemory(this.#options.refusals.noMemory));
  }

  /** Sends a response and reads on for a time, since closing at once would reset the connection and lose the response. */
  #sendLast(response: string): void {
    const {socket} = this.#options;
    socket.end(response);
    this.#gate.discard();
    const timer = setTimeout(() => socket.destroy(), DISCARD_LIMIT_MS);
    socket.once('close', () => {
      clearTimeout(timer);
    });
  }

  #dropWaiting(): void {
    this.#waiting.length = 0;
    this.#waitingBytes = 0;
    this.#head.clear();
  }

  #start(parsed: ParsedRequest): void {
    if (!this.#holdHead(parsed)) {
      this.#beginClosing('memory');
      this.#sendRefusal();
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
    if (this.#isNextRefused) {
      this.#sendRefusal();
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
    const bytes =
      this.#gate.keptBytes + this.#head.heldBytes + this.#trailerBytes + this.#waitingBytes;
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
    if (this.#holder.resize(bytes)) return;
    // A body is still read: it waits for room itself.
    if (this.#active?.request.complete === false && this.#trailerBytes === 0) this.close('memory');
    else this.refuse('memory');
  }

  #evict(rule: CloseRule): void {
    this.refuse(rule);
    this.#releaseHolder();
  }

  #releaseHolder(): void {
    this.#holder?.[Symbol.dispose]();
    this.#holder = undefined;
    this.#heldBytes = 0;
  }
}
