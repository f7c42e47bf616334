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
    for (let end = findEnd(rest); end > 0; end = findEnd(rest)) {
      const event = rest.subarray(0, end);
      events.push({bytes: event, id: readId(event)});
      rest = rest.subarray(end);
    }
    if (rest.length > MAX_EVENT_BYTES) return undefined;
    this.#rest = Buffer.from(rest);
    return events;
  }
}

/** Length of the first event with its empty line, or 0 when it is not whole. */
function findEnd(bytes: Buffer): number {
  const plain = bytes.indexOf('\n\n');
  const long = bytes.indexOf('\r\n\r\n');
  if (plain < 0 && long < 0) return 0;
  if (long < 0 || (plain >= 0 && plain < long)) return plain + 2;
  return long + 4;
}

function readId(event: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1];
}
