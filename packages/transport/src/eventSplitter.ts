/** Splits the bytes of an event stream at event boundaries without modifying them. */
import {isHeaderText} from './responseHead.js';
import type {BufferShare} from './responseShare.js';

/** The unmodified bytes of one event, with its id. */
export interface RawEvent {
  /** All bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Undefined when the event has no `id` field, or one that a request to resume after it cannot name. */
  readonly id: string | undefined;
  /** Whether the block has neither an ID nor data, such as a comment that keeps the connection open. */
  readonly isComment: boolean;
}

/** Maximum size of one event: a hundred times the size of a token event. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Initial capacity for the bytes of an incomplete event. */
const MIN_CAPACITY_BYTES = 1024;

/** Buffers the bytes of an incomplete event until the rest of it arrives. */
export class EventSplitter {
  readonly #share: BufferShare;
  /** The incomplete event in its first bytes; grows by doubling, so that each byte is copied a few times at most. */
  #buffer = Buffer.alloc(0);
  #size = 0;

  /** The share limits what is kept of an incomplete event. */
  constructor(share: BufferShare) {
    this.#share = share;
  }

  /** Whether bytes of an incomplete event are buffered; further empty lines are none. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.some((byte) => byte !== LF && byte !== CR);
  }

  /** Adds bytes and returns the events they complete, or undefined if an incomplete event is too large to be kept. */
  push(bytes: Buffer): readonly RawEvent[] | undefined {
    // The buffered bytes contain no complete event end, but may contain the start of one.
    const searchFrom = Math.max(0, this.#size - CRLF_EVENT_END.length + 1);
    let remaining = bytes;
    if (this.#size > 0) {
      this.#append(bytes);
      remaining = this.#partialEvent;
    }
    const events: RawEvent[] = [];
    for (
      let end = firstEventLength(remaining, searchFrom);
      end > 0;
      end = firstEventLength(remaining, 0)
    ) {
      // Events are relayed after the buffer has been used again.
      const event = Buffer.from(remaining.subarray(0, end));
      events.push(toRawEvent(event));
      remaining = remaining.subarray(end);
    }
    if (events.length > 0 || this.#size === 0) this.#restart(remaining);
    if (this.#size > MAX_EVENT_BYTES || !this.#share.resize(this.#buffer.length)) return undefined;
    return events;
  }

  get #partialEvent(): Buffer {
    return this.#buffer.subarray(0, this.#size);
  }

  #append(bytes: Buffer): void {
    const size = this.#size + bytes.length;
    if (size > this.#buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(size, this.#buffer.length * 2));
      this.#partialEvent.copy(grown);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#size);
    this.#size = size;
  }

  #restart(bytes: Buffer): void {
    const capacity = bytes.length === 0 ? 0 : Math.max(bytes.length, MIN_CAPACITY_BYTES);
    const buffer = Buffer.allocUnsafeSlow(capacity);
    bytes.copy(buffer);
    this.#buffer = buffer;
    this.#size = bytes.length;
  }
}

/** Tells whether the bytes of a stream that are passed on as they arrive end inside an event. */
export class EventBoundary {
  #lastBytes = '';

  /** Whether the bytes so far end with a complete event; false without any. */
  get isReached(): boolean {
    return this.#lastBytes.endsWith(LF_EVENT_END) || this.#lastBytes.endsWith(CRLF_EVENT_END);
  }

  /** Adds the bytes that follow. */
  push(bytes: Buffer): void {
    const newBytes = bytes.subarray(-CRLF_EVENT_END.length).toString('latin1');
    this.#lastBytes = (this.#lastBytes + newBytes).slice(-CRLF_EVENT_END.length);
  }
}

const LF = 0x0a;
const CR = 0x0d;
const LF_EVENT_END = '\n\n';
const CRLF_EVENT_END = '\r\n\r\n';

/** Length in bytes of the first event with its empty line, or 0 if it is incomplete. */
function firstEventLength(bytes: Buffer, from: number): number {
  const lfIndex = bytes.indexOf(LF_EVENT_END, from);
  const crlfIndex = bytes.indexOf(CRLF_EVENT_END, from);
  if (lfIndex < 0 && crlfIndex < 0) return 0;
  if (crlfIndex < 0 || (lfIndex >= 0 && lfIndex < crlfIndex)) return lfIndex + LF_EVENT_END.length;
  return crlfIndex + CRLF_EVENT_END.length;
}

function toRawEvent(bytes: Buffer): RawEvent {
  const text = bytes.toString('latin1');
  const id = /(?:^|\n)id: ?([^\r\n]*)/.exec(text)?.[1];
  const isComment = id === undefined && !/(?:^|\n)data(?:$|[:\r\n])/.test(text);
  return {bytes, id: id === undefined || !isHeaderText(id) ? undefined : id, isComment};
}
