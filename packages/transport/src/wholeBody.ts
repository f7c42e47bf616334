/** Buffers response bodies within limits of size and progress. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** 16 MiB, several times the largest value that a key-value service stores. */
const MAX_BODY_BYTES = 16_777_216;
const MS_PER_SECOND = 1000;

/**
 * Limits of a transfer whose size the sender decides. They apply to its progress, so that a slow transfer ends and one
 * that stalls or trickles does not last; the size limit bounds one that never ends.
 */
export interface TransferLimits {
  /** Time without a byte after which the transfer ends, in milliseconds. */
  readonly stallMs: number;
  /** Mean rate below which the transfer ends; what exceeds it is not saved up for later. */
  readonly minBytesPerSecond: number;
}

/** Why a body was not read: it ended early or broke off, is over 16 MiB, or stalled. */
export type BodyFault = 'truncated' | 'too_large' | 'stalled';

/** Reads a body; closes the connection when it fails. Without limits, the body may take any time. */
export async function readWholeBody(
  body: IncomingMessage,
  limits?: TransferLimits,
): Promise<Result<Buffer, BodyFault>> {
  const chunks: Buffer[] = [];
  let size = 0;
  using deadline = limits === undefined ? undefined : new TransferDeadline(body, limits);
  try {
    for await (const chunk of body) {
      const bytes = (chunk as Buffer).length;
      size += bytes;
      if (size > MAX_BODY_BYTES) return err('too_large');
      deadline?.extend(bytes);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err(deadline?.hasPassed === true ? 'stalled' : 'truncated');
  }
  return ok(Buffer.concat(chunks));
}

/** Destroys a body that makes too little progress. */
class TransferDeadline implements Disposable {
  readonly #body: IncomingMessage;
  readonly #limits: TransferLimits;
  #deadlineMs: number;
  #timer: NodeJS.Timeout | undefined;
  hasPassed = false;

  constructor(body: IncomingMessage, limits: TransferLimits) {
    this.#body = body;
    this.#limits = limits;
    this.#deadlineMs = performance.now() + limits.stallMs;
    this.#schedule(limits.stallMs);
  }

  /** Adds the time that the bytes may take at the lowest rate, up to the time of a stall. */
  extend(bytes: number): void {
    const {stallMs, minBytesPerSecond} = this.#limits;
    const earnedMs = (bytes * MS_PER_SECOND) / minBytesPerSecond;
    this.#deadlineMs = Math.min(performance.now() + stallMs, this.#deadlineMs + earnedMs);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => {
      const leftMs = this.#deadlineMs - performance.now();
      if (leftMs > 0) this.#schedule(leftMs);
      else this.#endAfterInput();
    }, delayMs);
  }

  /** After a long event loop turn, bytes that arrived in time have yet to be read. */
  #endAfterInput(): void {
    const deadlineMs = this.#deadlineMs;
    setImmediate(() => {
      if (this.#deadlineMs > deadlineMs) {
        this.#schedule(Math.max(0, this.#deadlineMs - performance.now()));
        return;
      }
      this.hasPassed = true;
      this.#body.destroy();
    });
  }
}
