/** Buffers the numbered events of one answer until the entry acknowledges them. */
import type {Clock} from '@marigoldfold/runtime';
import type {Failure, Load, WorkEvent} from '@marigoldfold/protocol';

/** Maximum number of unacknowledged chunks; the writer waits when it is reached. */
export const maxUnacknowledgedChunks = 1024;

type FinalEvent = Extract<WorkEvent, {kind: 'end' | 'failed'}>;
type LeadingEvent = Extract<WorkEvent, {kind: 'queued' | 'started' | 'head'}>;

interface Chunk {
  readonly number: number;
  readonly data: string;
}

/** An answer that is being written and read. It has one reader at a time; a new reader replaces the previous one. */
export class Answer {
  readonly #leadingEvents: LeadingEvent[] = [];
  #chunks: Chunk[] = [];
  #lastNumber = 0;
  #acknowledged = 0;
  #finalEvent: FinalEvent | undefined;
  #isDelivered = false;
  #reader = 0;
  #detachedAtMs: number | undefined;
  #wakeReader: (() => void) | undefined;
  #wakeWriter: (() => void) | undefined;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
  ) {
    this.#detachedAtMs = clock.now();
  }

  /** Number of chunks published so far. */
  get chunkCount(): number {
    return this.#lastNumber;
  }

  /** Number of chunks retained for a reader that reconnects. */
  get retainedCount(): number {
    return this.#chunks.length;
  }

  /** Whether the final event was published. */
  get isFinished(): boolean {
    return this.#finalEvent !== undefined;
  }

  /** Whether a reader has consumed the final event. */
  get isDelivered(): boolean {
    return this.#isDelivered;
  }

  /** Time since which the answer has no reader, in milliseconds; undefined while it has one. */
  get detachedAtMs(): number | undefined {
    return this.#detachedAtMs;
  }

  /** Publishes an event that precedes all chunks. */
  publish(event: LeadingEvent): void {
    this.#leadingEvents.push(event);
    this.#wakeReader?.();
  }

  /** Publishes a chunk, then waits while too many chunks are unacknowledged or until the signal aborts. */
  async publishChunk(data: string, signal: AbortSignal): Promise<void> {
    this.#lastNumber += 1;
    this.#chunks.push({number: this.#lastNumber, data});
    this.#wakeReader?.();
    while (this.#lastNumber - this.#acknowledged >= maxUnacknowledgedChunks && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          signal.removeEventListener('abort', wake);
          resolve();
        };
        this.#wakeWriter = wake;
        signal.addEventListener('abort', wake, {once: true});
      });
    }
  }

  /** Drops the chunks up to and including `number`, which the reader has received. */
  acknowledge(number: number): void {
    const upTo = Math.min(number, this.#lastNumber);
    if (upTo <= this.#acknowledged) return;
    this.#chunks = this.#chunks.slice(upTo - this.#acknowledged);
    this.#acknowledged = upTo;
    this.#wakeWriter?.();
  }

  /** Completes the answer; ignored when it has already ended. */
  end(load: Load): void {
    this.#finish({kind: 'end', chunks: this.#lastNumber, load});
  }

  /** Ends the answer with a failure; ignored when it has already ended. */
  fail(failure: Failure, load: Load): void {
    this.#finish({kind: 'failed', failure, load});
  }

  /** Reads the events after chunk `after`, until the final event, an abort or a new reader. */
  async *read(after: number, signal: AbortSignal): AsyncGenerator<WorkEvent, void> {
    this.#reader += 1;
    const reader = this.#reader;
    this.#detachedAtMs = undefined;
    this.#wakeReader?.();
    this.acknowledge(after);
    try {
      yield* this.#events(after, reader, signal);
    } finally {
      if (reader === this.#reader) this.#detachedAtMs = this.clock.now();
    }
  }

  async *#events(
    after: number,
    reader: number,
    signal: AbortSignal,
  ): AsyncGenerator<WorkEvent, void> {
    let leadingIndex = 0;
    let number = after;
    while (reader === this.#reader && !signal.aborted) {
      const leading = this.#leadingEvents[leadingIndex];
      if (leading !== undefined) {
        leadingIndex += 1;
        yield leading;
        continue;
      }
      if (number < this.#lastNumber) {
        const chunk = this.#chunks[number - this.#acknowledged];
        // A chunk is missing only if the reader requests one that was already acknowledged.
        if (chunk === undefined) return;
        number = chunk.number;
        yield {kind: 'chunk', ...chunk};
        continue;
      }
      if (this.#finalEvent !== undefined) {
        yield this.#finalEvent;
        this.#isDelivered = true;
        return;
      }
      await this.#waitForEvent(signal);
    }
  }

  #finish(event: FinalEvent): void {
    if (this.#finalEvent !== undefined) return;
    this.#finalEvent = event;
    this.#wakeReader?.();
  }

  async #waitForEvent(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = () => {
        signal.removeEventListener('abort', wake);
        resolve();
      };
      signal.addEventListener('abort', wake, {once: true});
      this.#wakeReader = wake;
    });
  }
}
