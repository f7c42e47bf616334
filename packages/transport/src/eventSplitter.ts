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
  #rest = Buffer.alloc(0);

  /** Whether bytes of an event that is not whole are held. */
  get hasRest(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes bytes and returns the events that they complete; undefined when one is too large. */
  push(bytes: Buffer): readonly RawEvent[] | undefined {
    let rest = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
    const events: RawEvent[] = [];
    // What was held has no end of an event, but may have the beginning of one.
    const from = Math.max(0, this.#rest.length - LONG_END.length + 1);
    for (let end = findEnd(rest, from); end > 0; end = findEnd(rest, 0)) {
      const event = rest.subarray(0, end);
      events.push({bytes: event, id: readId(event)});
      rest = rest.subarray(end);
    }
    if (rest.length > MAX_EVENT_BYTES) return undefined;
    this.#rest = Buffer.from(rest);
    return events;
  }
}

const PLAIN_END = '\n\n';
const LONG_END = '\r\n\r\n';

/** Length of the first event with its empty line, or 0 when it is not whole. */
function findEnd(bytes: Buffer, from: number): number {
  const plain = bytes.indexOf(PLAIN_END, from);
  const long = bytes.indexOf(LONG_END, from);
  if (plain < 0 && long < 0) return 0;
  if (long < 0 || (plain >= 0 && plain < long)) return plain + PLAIN_END.length;
  return long + LONG_END.length;
}

function readId(event: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1];
}
