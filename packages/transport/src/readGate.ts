/** Passes a connection's input on to the HTTP parser in slices, and keeps what may not be parsed yet. */
import type {Socket} from 'node:net';
import {DISCARD_LIMIT_BYTES} from './earlyResponse.js';
import type {InputTurns} from './inputTurns.js';

/** Input of a connection that is parsed in one turn of the event loop, beside plain bodies; in bytes. */
export const MAX_TURN_BYTES = 16_384;
/** A rest that is smaller than this part of the memory that it lies in is copied, so that the memory is freed. */
const MIN_USED_PART = 0.25;

/** Part of the socket's handle that `net.Socket` does not expose; `node:http` uses it in the same way. */
interface ReadHandle {
  reading: boolean;
  readStart(): number;
  readStop(): number;
}

/** How much input may be parsed at once, or collected. */
export interface InputSlice {
  readonly bytes: number;
  /**
   * A body of known length costs the parser nothing for each byte; a chunked one or a long head may cost it much. The
   * part of a head is collected, and not parsed until the rest has arrived.
   */
  readonly kind: 'head' | 'longHead' | 'headPart' | 'plainBody' | 'chunkedBody';
}

/** Socket and decisions of a {@link ReadGate}. */
export interface ReadGateOptions {
  readonly socket: Socket;
  /** Turns that the connections of a server share. */
  readonly turns: InputTurns;
  /** Whether any input may be parsed now. */
  readonly mayParse: () => boolean;
  /** How much of the given input may be parsed at once, if any may be. */
  readonly chooseSlice: (input: Buffer) => InputSlice;
  /** Called before a slice is parsed; returns what is parsed, which begins with what was collected. */
  readonly onSlice: (slice: Buffer, kind: InputSlice['kind']) => Buffer;
  /** Called after a slice has been parsed, with what was parsed. */
  readonly onParsed: (input: Buffer) => void;
  /** Called with a part of a head, which is to be copied. */
  readonly onHeadPart: (part: Buffer) => void;
  /** Called after a part of the input has been parsed or kept. */
  readonly onInput: () => void;
}

/**
 * Takes over the `data` listener of `http.Server`. Input that may not be parsed yet is put back into the socket's
 * buffer, so that the end of input follows it. The socket is paused then, and its handle stopped: at most one read chunk
 * is kept.
 */
export class ReadGate {
  readonly #options: ReadGateOptions;
  readonly #parse: (chunk: Buffer) => void;
  #isKeeping = false;
  /** Whether `http.Server` has paused the socket, as the reader of a body does not keep up; it resumes the socket. */
  #isPausedByServer = false;
  /** Set while the rest of the input waits for a later turn of the event loop. */
  #turnWait: Disposable | undefined;
  #isClosed = false;
  /** Number of bytes discarded; undefined while input is not discarded. */
  #discardedBytes: number | undefined;
  /** Input that follows the slice that is being parsed. */
  #rest: Buffer | undefined;

  constructor(options: ReadGateOptions) {
    this.#options = options;
    const {socket} = options;
    const [parse] = socket.listeners('data') as ((chunk: Buffer) => void)[];
    if (parse === undefined) throw new Error('the socket has no HTTP parser');
    this.#parse = parse;
    socket.removeListener('data', parse);
    socket.on('data', this.#receive);
    socket.on('pause', this.#stopHandle);
    socket.on('resume', this.#startHandle);
  }

  /** Bytes that have been received and not parsed. */
  get keptBytes(): number {
    return this.#options.socket.readableLength;
  }

  /** Continues with kept input, as far as it may be parsed now. */
  release(): void {
    if (!this.#isKeeping || this.#isPausedByServer || this.#isClosed) return;
    if (this.#turnWait !== undefined) return;
    if (!this.#options.mayParse()) return;
    this.#isKeeping = false;
    this.#options.socket.resume();
  }

  /** Parses no further input, discards what is kept and reads no more. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#endTurnWait();
    const {socket} = this.#options;
    socket.pause();
    while (socket.readableLength > 0 && socket.read() !== null);
  }

  /** Parses no further input, and reads and discards a limited number of bytes. */
  discard(): void {
    this.#discardedBytes = 0;
    this.#endTurnWait();
    this.#options.socket.resume();
  }

  /** Gives the socket up to the handler of an upgrade; returns input that follows the slice being parsed. */
  detach(): Buffer {
    const {socket} = this.#options;
    this.#isClosed = true;
    this.#endTurnWait();
    socket.removeListener('data', this.#receive);
    socket.removeListener('pause', this.#stopHandle);
    socket.removeListener('resume', this.#startHandle);
    return this.#rest ?? Buffer.alloc(0);
  }

  readonly #receive = (chunk: Buffer): void => {
    if (this.#discardedBytes !== undefined) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes >= DISCARD_LIMIT_BYTES) this.#options.socket.pause();
      return;
    }
    if (this.#isClosed) return;
    this.#isKeeping = false;
    this.#isPausedByServer = false;
    const parsedBytes = this.#turnWait === undefined ? this.#parseSlices(chunk) : 0;
    if (this.#hasEnded()) return;
    if (parsedBytes < chunk.length) this.#keep(chunk.subarray(parsedBytes));
    this.#options.onInput();
  };

  /** Returns the number of bytes that were parsed. */
  #parseSlices(chunk: Buffer): number {
    const {socket, turns, mayParse, chooseSlice, onSlice, onParsed, onHeadPart} = this.#options;
    let rest: Buffer | undefined = chunk;
    let offset = 0;
    let bytesLeftInTurn = MAX_TURN_BYTES;
    while (rest !== undefined && mayParse()) {
      const {bytes, kind} = chooseSlice(rest);
      if (this.#hasEnded()) break;
      // A head is parsed in one turn, so that its lines are never held in parts.
      const isWhole = kind === 'plainBody' || kind === 'longHead' || kind === 'headPart';
      const limit = isWhole ? bytes : Math.min(bytes, bytesLeftInTurn);
      if (limit === 0 || (kind !== 'plainBody' && bytesLeftInTurn <= 0)) break;
      const isCostly = kind === 'chunkedBody' || kind === 'longHead';
      if (isCostly && !turns.hasTime) break;
      const slice: Buffer = limit < rest.length ? rest.subarray(0, limit) : rest;
      if (kind !== 'plainBody') bytesLeftInTurn -= slice.length;
      offset += slice.length;
      rest = limit < rest.length ? rest.subarray(limit) : undefined;
      this.#rest = rest;
      if (kind === 'headPart') {
        onHeadPart(slice);
      } else {
        const input = onSlice(slice, kind);
        if (isCostly)
          turns.run(() => {
            this.#parse(input);
          });
        else this.#parse(input);
        onParsed(input);
      }
      this.#rest = undefined;
      if (this.#hasEnded()) break;
      if (socket.isPaused()) {
        this.#isPausedByServer = true;
        break;
      }
    }
    return offset;
  }

  #hasEnded(): boolean {
    return this.#isClosed || this.#discardedBytes !== undefined || this.#options.socket.destroyed;
  }

  #keep(rest: Buffer): void {
    const {socket, turns, mayParse} = this.#options;
    const isWasteful = rest.length < rest.buffer.byteLength * MIN_USED_PART;
    socket.pause();
    socket.unshift(isWasteful ? Buffer.from(rest) : rest);
    this.#isKeeping = true;
    if (this.#turnWait !== undefined || this.#isPausedByServer || !mayParse()) return;
    this.#turnWait = turns.wait(() => {
      this.#turnWait = undefined;
      this.release();
    });
  }

  #endTurnWait(): void {
    this.#turnWait?.[Symbol.dispose]();
    this.#turnWait = undefined;
  }

  /**
   * A paused `net.Socket` goes on reading until its buffer is full. `reading` stays set, so that the stream does not start
   * the handle again to fill its buffer.
   */
  readonly #stopHandle = (): void => {
    if (this.#handle?.reading === true) this.#handle.readStop();
  };

  readonly #startHandle = (): void => {
    // The event comes a tick after the call, and the socket may have been paused again.
    if (this.#options.socket.isPaused()) this.#stopHandle();
    else if (this.#handle?.reading === true) this.#handle.readStart();
  };

  get #handle(): ReadHandle | null | undefined {
    return (this.#options.socket as unknown as {_handle?: ReadHandle | null})._handle;
  }
}
