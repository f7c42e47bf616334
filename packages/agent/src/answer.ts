/** The numbered events of one answer, kept until the entry has acknowledged them. */
import type {Clock} from '@marigoldfold/runtime';
import type {Failure, Load, WorkEvent} from '@marigoldfold/protocol';

/** Chunks that may be out without an acknowledgement; the writer waits beyond. */
export const maxUnacknowledgedChunks = 1024;

type FinalEvent = Extract<WorkEvent, {kind: 'end' | 'failed'}>;
type LeadingEvent = Extract<WorkEvent, {kind: 'queued' | 'started' | 'head'}>;

interface Chunk {
  readonly number: number;
  readonly data: string;
}

/** An answer in the making. One reader at a time; a new reader takes the place of the one before. */
export class Answer {
  readonly #leading: LeadingEvent[] = [];
  #chunks: Chunk[] = [];
  #lastNumber = 0;
  #acknowledged = 0;
  #final: FinalEvent | undefined;
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

  /** Number of chunks so far. */
  get chunkCount(): number {
    return this.#lastNumber;
  }

  /** Number of chunks that are kept for a reader that reconnects. */
  get retainedCount(): number {
    return this.#chunks.length;
  }

  /** Whether the last event is there. */
  get isFinished(): boolean {
    return this.#final !== undefined;
  }

  /** Whether a reader has taken the last event. */
  get isDelivered(): boolean {
    return this.#isDelivered;
  }

  /** Since when nobody has read, on the clock; undefined while a reader is there. */
  get detachedAtMs(): number | undefined {
    return this.#detachedAtMs;
  }

  /** Adds an event that comes before all chunks. */
  publish(event: LeadingEvent): void {
    this.#leading.push(event);
    this.#wakeReader?.();
  }

  /** Adds a chunk, and waits while the reader is too far behind. */
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

  /** Notes that the reader has all chunks up to a number; they are no longer kept. */
  acknowledge(number: number): void {
    const known = Math.min(number, this.#lastNumber);
    if (known <= this.#acknowledged) return;
    this.#chunks = this.#chunks.slice(known - this.#acknowledged);
    this.#acknowledged = known;
    this.#wakeWriter?.();
  }

  /** Ends the answer with a mark that it is whole. */
  end(load: Load): void {
    this.#finish({kind: 'end', chunks: this.#lastNumber, load});
  }

  /** Ends the answer with a failure. */
  fail(failure: Failure, load: Load): void {
    this.#finish({kind: 'failed', failure, load});
  }

  /** Reads the events after a chunk, until the last one or until another reader comes. */
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
      const leading = this.#leading[leadingIndex];
      if (leading !== undefined) {
        leadingIndex += 1;
        yield leading;
        continue;
      }
      if (number < this.#lastNumber) {
        const chunk = this.#chunks[number - this.#acknowledged];
        // Only a reader that asks for what it has acknowledged before finds nothing here.
        if (chunk === undefined) return;
        number = chunk.number;
        yield {kind: 'chunk', ...chunk};
        continue;
      }
      if (this.#final !== undefined) {
        yield this.#final;
        this.#isDelivered = true;
        return;
      }
      await this.#waitForEvent(signal);
    }
  }

  #finish(event: FinalEvent): void {
    if (this.#final !== undefined) return;
    this.#final = event;
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
