/** Reads request bodies within limits of size, time and rate, into memory that a budget counts. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {type Clock, steadyClock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import {discardRemainder} from './earlyResponse.js';
import type {ServerLimits} from './httpServer.js';
import type {MemoryBudget, MemoryHolder} from './memoryBudget.js';

/** Size and time limits of one request body. */
export type BodyLimits = Pick<ServerLimits, 'maxBodyBytes' | 'requestTimeoutMs'>;

/**
 * Why a body could not be read; `aborted` means that the connection closed, `no_memory` that the budget had no room or
 * that the body was evicted from it.
 */
export type BodyError = 'too_large' | 'timed_out' | 'aborted' | 'no_memory';

/** The budget that counts a body, and for whom. */
export interface BodyMemory {
  readonly budget: MemoryBudget;
  /** Client address or account over which fairness is judged. */
  readonly owner: string;
  /** Called when the body is evicted after it has been read, which cannot happen once it is pinned. */
  readonly onEvicted?: () => void;
  /** Called when the body ends with `no_memory` without an eviction; `bytes` is the room that was not found. */
  readonly onRefused?: (bytes: number) => void;
}

/** A complete body; disposing of it releases its bytes in the budget. */
export interface HeldBody extends Disposable {
  /** Empty after an eviction. */
  readonly bytes: Buffer;
  /** Excludes the body from eviction: its request is forwarded. */
  pin(): void;
}

/** Mean rate below which a body ends; the slowest mobile links are several times as fast. */
const MIN_BYTES_PER_SECOND = 256;
/** Time from which on the rate is checked. */
const RATE_CHECK_AFTER_MS = 10_000;
/** Shortest time between two checks of the rate. */
const RATE_CHECK_MS = 1000;
/** Time between two attempts to find room for a paused body. */
const ROOM_CHECK_MS = 100;
const MS_PER_SECOND = 1000;
/** Size of the first block in which small chunks are collected. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;
/** Chunks of at least this size are kept as they are, so that large bodies are copied once. */
const MIN_KEPT_BYTES = 4096;
/** A buffer is kept as it is if its memory is at most this many times the size of its bytes. */
const MAX_WASTE_FACTOR = 1.25;
const EMPTY = Buffer.alloc(0);

/** Reads the whole body; on an error the handler can still send a response. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock = steadyClock,
): Promise<Result<Buffer, BodyError>> {
  const body = await readHeldBody(request, limits, {clock});
  return body.map(({bytes}) => bytes);
}

/** Reads the whole body into memory of a budget; on an error the handler can still send a response. */
export async function readHeldBody(
  request: IncomingMessage,
  limits: BodyLimits,
  {clock = steadyClock, memory}: {readonly clock?: Clock; readonly memory?: BodyMemory},
): Promise<Result<HeldBody, BodyError>> {
  const reader = new BodyReader(request, limits, clock, memory);
  const body = await reader.read();
  if (body.isErr() && body.error !== 'aborted') discardRemainder(request, reader.missingBytes);
  return body;
}

/**
 * Reads the body of a request that is never evicted once it is complete, and counts it until the response has ended.
 * Without a budget, it is not counted.
 */
export async function readPinnedBody(
  request: IncomingMessage,
  response: ServerResponse,
  limits: BodyLimits,
  memory?: BodyMemory,
): Promise<Result<Buffer, BodyError>> {
  const body = await readHeldBody(request, limits, memory === undefined ? {} : {memory});
  return body.map((held) => {
    const {bytes} = held;
    held.pin();
    const release = () => {
      held[Symbol.dispose]();
    };
    if (response.destroyed) release();
    else response.once('close', release);
    return bytes;
  });
}

class BodyReader implements HeldBody {
  readonly #request: IncomingMessage;
  readonly #limits: BodyLimits;
  readonly #clock: Clock;
  readonly #memory: BodyMemory | undefined;
  /** Opened with the first bytes, since most requests without a body never need one. */
  #holder: MemoryHolder | undefined;
  /** Length that the request states, or the largest one allowed. */
  readonly #maxLength: number;
  /** Full blocks of the body. */
  #blocks: Buffer[] = [];
  /** The last block, in which small chunks are collected. */
  #tail: Buffer = EMPTY;
  #tailSize = 0;
  /** Number of bytes that have been stored. */
  #size = 0;
  /** Memory of all blocks. */
  #heldBytes = 0;
  /** The complete body. */
  #bytes: Buffer = EMPTY;
  /** A chunk for which there is no room yet; the request is paused. */
  #pendingChunk: Buffer | undefined;
  readonly #startedAtMs: number;
  /** Time for which the body has waited for room in total, in milliseconds; the client is not slow in this time. */
  #waitedMs = 0;
  #timer: Disposable | undefined;
  #roomTimer: Disposable | undefined;
  #waitingBytes: Disposable | undefined;
  #resolve: ((result: Result<HeldBody, BodyError>) => void) | undefined;

  constructor(
    request: IncomingMessage,
    limits: BodyLimits,
    clock: Clock,
    memory: BodyMemory | undefined,
  ) {
    this.#request = request;
    this.#limits = limits;
    this.#clock = clock;
    this.#memory = memory;
    this.#startedAtMs = clock.now();
    const length = request.headers['content-length'];
    this.#maxLength = length === undefined ? limits.maxBodyBytes : Number(length);
  }

  get bytes(): Buffer {
    return this.#bytes;
  }

  /** Announced bytes that have not been kept; 0 if no length is announced. */
  get missingBytes(): number {
    return Math.max(0, Number(this.#request.headers['content-length'] ?? 0) - this.#size);
  }

  pin(): void {
    this.#holder?.pin();
  }

  [Symbol.dispose](): void {
    this.#releaseBytes();
    this.#holder?.[Symbol.dispose]();
  }

  read(): Promise<Result<HeldBody, BodyError>> {
    if (this.#maxLength > this.#limits.maxBodyBytes) return Promise.resolve(err('too_large'));
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#scheduleCheck(Math.min(this.#limits.requestTimeoutMs, RATE_CHECK_AFTER_MS));
      const request = this.#request;
      request.on('data', (chunk: Buffer) => {
        this.#addChunk(chunk);
      });
      request.on('end', () => {
        this.#finish();
      });
      const abort = () => {
        this.#finish('aborted');
      };
      request.on('close', abort);
      request.on('error', abort);
    });
  }

  #finish(error?: BodyError): void {
    const resolve = this.#resolve;
    if (resolve === undefined) return;
    this.#resolve = undefined;
    this.#timer?.[Symbol.dispose]();
    this.#request.removeAllListeners('data');
    this.#endWait();
    if (error === undefined) {
      this.#join();
      resolve(ok(this));
    } else {
      this[Symbol.dispose]();
      resolve(err(error));
    }
  }

  #scheduleCheck(delayMs: number): void {
    this.#timer = this.#clock.schedule(delayMs, () => {
      this.#checkTime();
    });
  }

  /** Ends a body that is late or too slow; the next check is due when its bytes no longer suffice for the rate. */
  #checkTime(): void {
    const leftMs = this.#limits.requestTimeoutMs - this.#elapsedMs;
    if (leftMs <= 0) {
      this.#finish('timed_out');
    } else if (this.#isTooSlow) {
      // After a long event loop turn, bytes that arrived in time have yet to be read.
      setImmediate(() => {
        if (this.#isTooSlow) this.#finish('timed_out');
        else if (this.#resolve !== undefined) this.#scheduleCheck(RATE_CHECK_MS);
      });
    } else {
      const sufficientMs = this.#sufficientMs - this.#elapsedMs;
      this.#scheduleCheck(Math.min(leftMs, Math.max(RATE_CHECK_MS, sufficientMs)));
    }
  }

  get #elapsedMs(): number {
    return this.#clock.now() - this.#startedAtMs;
  }

  /** Time for which the bytes that have arrived suffice at the lowest rate, in milliseconds. */
  get #sufficientMs(): number {
    return (this.#size * MS_PER_SECOND) / MIN_BYTES_PER_SECOND + this.#waitedMs;
  }

  get #isTooSlow(): boolean {
    return this.#pendingChunk === undefined && this.#elapsedMs > this.#sufficientMs;
  }

  #addChunk(chunk: Buffer): void {
    const size = this.#size + chunk.length;
    if (size > this.#limits.maxBodyBytes) {
      this.#finish('too_large');
      return;
    }
    this.#holder?.recordProgress();
    if (this.#store(chunk)) return;
    const request = this.#request;
    request.pause();
    this.#pendingChunk = chunk;
    // Node.js may read as much again before the pause takes effect.
    const bytes = chunk.length + request.readableHighWaterMark;
    this.#waitingBytes = this.#memory?.budget.admitWaiting(bytes);
    if (this.#waitingBytes === undefined) this.#refuse(chunk);
    else this.#waitForRoom(this.#clock.now());
  }

  /** Stores a chunk unless there is no room for it. */
  #store(chunk: Buffer): boolean {
    const freeBytes = this.#tail.length - this.#tailSize;
    if (chunk.length > freeBytes) {
      const rest = chunk.subarray(freeBytes);
      const isKept = this.#mayKeep(rest);
      const addedBytes = isKept ? rest.buffer.byteLength : this.#chooseBlockSize(rest.length);
      if (!this.#resizeHolder(this.#heldBytes + addedBytes)) return false;
      this.#heldBytes += addedBytes;
      this.#fillTail(chunk.subarray(0, freeBytes));
      if (this.#tailSize > 0) this.#blocks.push(this.#tail);
      this.#tail = isKept ? rest : Buffer.allocUnsafeSlow(addedBytes);
      this.#tailSize = isKept ? rest.length : 0;
      if (!isKept) this.#fillTail(rest);
    } else {
      this.#fillTail(chunk);
    }
    this.#size += chunk.length;
    return true;
  }

  /** Whether bytes are kept without a copy; they may be a small part of memory that cannot be released before them. */
  #mayKeep(bytes: Buffer): boolean {
    const isWhole = bytes.length === this.#maxLength;
    if (!isWhole && bytes.length < MIN_KEPT_BYTES) return false;
    return bytes.buffer.byteLength <= bytes.length * MAX_WASTE_FACTOR;
  }

  /** Size of a block for bytes that are copied: as much as has arrived, so that small chunks need few blocks. */
  #chooseBlockSize(bytes: number): number {
    const size = Math.max(MIN_BLOCK_BYTES, Math.min(this.#size, MAX_BLOCK_BYTES));
    const freeBytes = this.#tail.length - this.#tailSize;
    return Math.max(bytes, Math.min(size, this.#maxLength - this.#size - freeBytes));
  }

  #fillTail(bytes: Buffer): void {
    bytes.copy(this.#tail, this.#tailSize);
    this.#tailSize += bytes.length;
  }

  #resizeHolder(bytes: number): boolean {
    if (this.#memory === undefined) return true;
    const {budget, owner} = this.#memory;
    this.#holder ??= budget.open({
      kind: 'body',
      owner,
      onEvicted: () => {
        this.#handleEviction();
      },
    });
    return this.#holder.resize(bytes);
  }

  #releaseBytes(): void {
    this.#heldBytes = 0;
    this.#blocks = [];
    this.#tail = EMPTY;
    this.#bytes = EMPTY;
  }

  #handleEviction(): void {
    const isReading = this.#resolve !== undefined;
    this.#releaseBytes();
    if (isReading) this.#finish('no_memory');
    else this.#memory?.onEvicted?.();
  }

  /** Tries again until there is room or none has been found for the time after which a body is stalled. */
  #waitForRoom(sinceMs: number): void {
    this.#roomTimer = this.#clock.schedule(ROOM_CHECK_MS, () => {
      const chunk = this.#pendingChunk;
      if (chunk === undefined || this.#memory === undefined) return;
      const waitedMs = this.#clock.now() - sinceMs;
      if (this.#store(chunk)) {
        this.#endWait();
        this.#waitedMs += waitedMs;
        this.#holder?.recordProgress();
        this.#request.resume();
      } else if (waitedMs >= this.#memory.budget.stalledMs) {
        this.#refuse(chunk);
      } else {
        this.#waitForRoom(sinceMs);
      }
    });
  }

  #endWait(): void {
    this.#pendingChunk = undefined;
    this.#roomTimer?.[Symbol.dispose]();
    this.#waitingBytes?.[Symbol.dispose]();
  }

  #refuse(chunk: Buffer): void {
    this.#memory?.onRefused?.(chunk.length);
    this.#finish('no_memory');
  }

  /** Joins the blocks and releases memory beyond the end of the body. */
  #join(): void {
    const blocks = this.#blocks;
    const tail = this.#tail.subarray(0, this.#tailSize);
    this.#blocks = [];
    this.#tail = EMPTY;
    const isWasteful =
      this.#heldBytes > MIN_BLOCK_BYTES && this.#heldBytes > this.#size * MAX_WASTE_FACTOR;
    if (blocks.length === 0 && !isWasteful) {
      this.#bytes = tail;
      return;
    }
    this.#bytes = Buffer.allocUnsafeSlow(this.#size);
    let position = 0;
    for (const block of [...blocks, tail]) position += block.copy(this.#bytes, position);
    this.#resizeHolder(this.#size);
  }
}
