/** Rate-limits log lines and never blocks on a slow reader. */
import type {Clock} from './clock.js';
import type {LogLevel} from './logger.js';

/** Writes bytes; resolves when the next write may start. */
export type WriteBytes = (bytes: Buffer) => Promise<void>;

/** Rate limit and destination of a `BoundedOutput`. */
export interface BoundedOutputOptions {
  readonly clock: Clock;
  readonly write: WriteBytes;
  /** Average rate limit; a burst may contain up to five seconds of output at this rate. */
  readonly bytesPerSecond: number;
}

/** Size of the largest burst, in seconds of the average rate. */
const BURST_SECONDS = 5;
/** Fraction of the burst that each level leaves to more severe levels. */
const reservedBurstFractions: Readonly<Record<LogLevel, number>> = {
  debug: 0.6,
  info: 0.25,
  warn: 0.05,
  error: 0,
};
/** Lines are batched for this long before they are written together. */
const BATCH_DELAY_MS = 50;
/** Limit on buffered bytes while the reader is stalled; further lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;
const MS_PER_SECOND = 1000;

/** A rate-limited output; lines over the limit are dropped, and their count is logged later. */
export class BoundedOutput {
  readonly #options: BoundedOutputOptions;
  #budget: number;
  #budgetAtMs: number;
  #lines: string[] = [];
  #bufferedBytes = 0;
  #isScheduled = false;
  #writing: Promise<void> | undefined;
  #dropped: Record<LogLevel, number> = {debug: 0, info: 0, warn: 0, error: 0};

  constructor(options: BoundedOutputOptions) {
    this.#options = options;
    this.#budget = options.bytesPerSecond * BURST_SECONDS;
    this.#budgetAtMs = options.clock.now();
  }

  /** Buffers a line, given without its line feed, or drops it if it exceeds the limits. */
  write(line: string, level: LogLevel): void {
    const size = Buffer.byteLength(line) + 1;
    if (!this.#tryReserve(size, level)) {
      this.#dropped[level] += 1;
      return;
    }
    this.#bufferedBytes += size;
    this.#lines.push(line);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.clock.schedule(BATCH_DELAY_MS, () => {
      this.#isScheduled = false;
      void this.flush();
    });
  }

  /** Writes the buffered lines; resolves immediately if a previous write is still pending. */
  async flush(): Promise<void> {
    if (this.#writing !== undefined) return;
    this.#appendDropCounts();
    if (this.#lines.length === 0) return;
    const bytes = Buffer.from(`${this.#lines.join('\n')}\n`);
    this.#lines = [];
    this.#writing = this.#options.write(bytes);
    await this.#writing;
    this.#writing = undefined;
    this.#bufferedBytes -= bytes.length;
    // The timer of lines that were buffered during the write may already have fired.
    if (this.#lines.length > 0) await this.flush();
  }

  #tryReserve(size: number, level: LogLevel): boolean {
    const {clock, bytesPerSecond} = this.#options;
    const now = clock.now();
    const burst = bytesPerSecond * BURST_SECONDS;
    const refilled = ((now - this.#budgetAtMs) / MS_PER_SECOND) * bytesPerSecond;
    this.#budget = Math.min(burst, this.#budget + refilled);
    this.#budgetAtMs = now;
    if (this.#bufferedBytes + size > MAX_BUFFERED_BYTES) return false;
    if (this.#budget - size < burst * reservedBurstFractions[level]) return false;
    this.#budget -= size;
    return true;
  }

  #appendDropCounts(): void {
    const counts = Object.entries(this.#dropped).filter(([, count]) => count > 0);
    if (counts.length === 0) return;
    this.#dropped = {debug: 0, info: 0, warn: 0, error: 0};
    const line = JSON.stringify({
      time: new Date().toISOString(),
      level: 'warn',
      message: 'log lines dropped',
      ...Object.fromEntries(counts),
    });
    this.#lines.push(line);
    this.#bufferedBytes += Buffer.byteLength(line) + 1;
  }
}
