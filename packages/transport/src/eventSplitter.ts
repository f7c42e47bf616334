/** Splits the bytes of an event stream at event boundaries without modifying them. */

/** The unmodified bytes of one event, with its id. */
export interface RawEvent {
  /** All bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Undefined when the event has no `id` field. */
  readonly id: string | undefined;
  /** Whether the block has neither an ID nor data, such as a comment that keeps the connection open. */
  readonly isComment: boolean;
}

/** Maximum size of one event: a hundred times the size of a token event. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Buffers the bytes of an incomplete event until the rest of it arrives. */
export class EventSplitter {
  #partialEvent = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered; further empty lines are none. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.some((byte) => byte !== LF && byte !== CR);
  }

  /** Adds bytes and returns the events they complete, or undefined if an event exceeds `MAX_EVENT_BYTES`. */
  push(bytes: Buffer): readonly RawEvent[] | undefined {
    let remaining =
      this.#partialEvent.length === 0 ? bytes : Buffer.concat([this.#partialEvent, bytes]);
    const events: RawEvent[] = [];
    // The buffered bytes contain no complete event end, but may contain the start of one.
    const searchFrom = Math.max(0, this.#partialEvent.length - CRLF_EVENT_END.length + 1);
    for (
      let end = firstEventLength(remaining, searchFrom);
      end > 0;
      end = firstEventLength(remaining, 0)
    ) {
      const event = remaining.subarray(0, end);
      events.push(toRawEvent(event));
      remaining = remaining.subarray(end);
    }
    if (remaining.length > MAX_EVENT_BYTES) return undefined;
    this.#partialEvent = Buffer.from(remaining);
    return events;
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
  return {bytes, id, isComment: id === undefined && !/(?:^|\n)data(?:$|[:\r\n])/.test(text)};
}
