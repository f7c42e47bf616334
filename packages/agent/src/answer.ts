/** The numbered events of one answer, kept until the entry has them. */
import type {Clock} from '@marigoldfold/runtime';
import type {Failure, Load, WorkEvent} from '@marigoldfold/protocol';

/** Chunks that are kept for an entry that reconnects. */
const RETAINED_CHUNKS = 512;

type FinalEvent = Extract<WorkEvent, {kind: 'end' | 'failed'}>;
type LeadingEvent = Extract<WorkEvent, {kind: 'queued' | 'started' | 'head'}>;

interface Chunk {
  readonly number: number;
  readonly data: string;
}

/** An answer in the making. One reader at a time; a new reader takes the place of the one before. */
export class Answer {
  readonly #leading: LeadingEvent[] = [];
  readonly #chunks: Chunk[] = [];
  #lastNumber = 0;
  #readNumber = 0;
  #final: FinalEvent | undefined;
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

  /** Whether the last event is there. */
  get isFinished(): boolean {
    return this.#final !== undefined;
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
    while (this.#lastNumber - this.#readNumber >= RETAINED_CHUNKS && !signal.aborted) {
      await new Promise<void>((resolve) => {
        this.#wakeWriter = resolve;
        signal.addEventListener(
          'abort',
          () => {
            resolve();
          },
          {once: true},
        );
      });
    }
    while (this.#chunks.length > RETAINED_CHUNKS) this.#chunks.shift();
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
        const chunk = this.#chunkAfter(number);
        // The reader sees the gap as an answer that cannot become whole.
        if (chunk === undefined) return;
        number = chunk.number;
        yield {kind: 'chunk', ...chunk};
        this.#acknowledge(number);
        continue;
      }
      if (this.#final !== undefined) {
        yield this.#final;
        return;
      }
      await this.#waitForEvent(signal);
    }
  }

  #chunkAfter(number: number): Chunk | undefined {
    const first = this.#chunks[0];
    if (first === undefined) return undefined;
    return this.#chunks[number + 1 - first.number];
  }

  #acknowledge(number: number): void {
    this.#readNumber = Math.max(this.#readNumber, number);
    this.#wakeWriter?.();
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
