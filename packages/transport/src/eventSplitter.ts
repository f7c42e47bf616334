/** Cuts the bytes of an event stream into whole events, without changing them. */

/** One event with the bytes that it came in. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Absent when the event has no id of its own. */
  readonly id: string | undefined;
}

/** Largest event that is waited for, in bytes: a hundred times that of a token. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Gathers bytes until an event is whole. */
export class EventSplitter {
  #partialEvent = Buffer.alloc(0);

  /** Whether bytes of an event that is not whole are held. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Takes bytes and returns the events that they complete; undefined when one is too large. */
  push(bytes: Buffer): readonly RawEvent[] | undefined {
    let remaining =
      this.#partialEvent.length === 0 ? bytes : Buffer.concat([this.#partialEvent, bytes]);
    const events: RawEvent[] = [];
    // What was held has no end of an event, but may have the beginning of one.
    const searchFrom = Math.max(0, this.#partialEvent.length - CRLF_EVENT_END.length + 1);
    for (
      let end = firstEventLength(remaining, searchFrom);
      end > 0;
      end = firstEventLength(remaining, 0)
    ) {
      const event = remaining.subarray(0, end);
      events.push({bytes: event, id: readId(event)});
      remaining = remaining.subarray(end);
    }
    if (remaining.length > MAX_EVENT_BYTES) return undefined;
    this.#partialEvent = Buffer.from(remaining);
    return events;
  }
}

const LF_EVENT_END = '\n\n';
const CRLF_EVENT_END = '\r\n\r\n';

/** Length of the first event with its empty line, or 0 when it is not whole. */
function firstEventLength(bytes: Buffer, from: number): number {
  const lfIndex = bytes.indexOf(LF_EVENT_END, from);
  const crlfIndex = bytes.indexOf(CRLF_EVENT_END, from);
  if (lfIndex < 0 && crlfIndex < 0) return 0;
  if (crlfIndex < 0 || (lfIndex >= 0 && lfIndex < crlfIndex)) return lfIndex + LF_EVENT_END.length;
  return crlfIndex + CRLF_EVENT_END.length;
}

function readId(event: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1];
}
