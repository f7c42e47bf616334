/** Decides which events of consecutive attempts belong into the stream that a client receives. */
import type {RawEvent} from '@marigoldfold/transport';

/** Whether an event is relayed, skipped because it is not needed, or does not continue the stream. */
export type EventVerdict =
  | {readonly kind: 'relay'}
  | {readonly kind: 'skip'}
  | {readonly kind: 'fault'; readonly reason: string};

/** The attempt that an event comes from. */
export interface EventOrigin {
  /** Whether the attempt resumes a stream of which the client had received a part when it began. */
  readonly isResumed: boolean;
  /** Whether the attempt has yet to send its first event that the client has not received. */
  readonly isFirstNew: boolean;
}

const RELAY: EventVerdict = {kind: 'relay'};
const SKIP: EventVerdict = {kind: 'skip'};

/** The events that a client has received for one request, from all attempts. */
export class EventSequence {
  #lastEventId: string | undefined;
  /** Largest difference between consecutive numeric IDs; undefined before the second one. */
  #largestStep: number | undefined;
  #hasUnidentifiedEvent = false;

  /** ID of the last event that the client received. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether another attempt can continue the stream, which needs an ID on every event received so far. */
  get canResume(): boolean {
    return !this.#hasUnidentifiedEvent;
  }

  /** Checks an event before it is relayed. */
  check({id, isComment}: RawEvent, {isResumed, isFirstNew}: EventOrigin): EventVerdict {
    if (isComment) return isResumed ? SKIP : RELAY;
    if (id === undefined) {
      return isResumed ? {kind: 'fault', reason: 'a resumed event has no ID'} : RELAY;
    }
    if (this.#lastEventId === undefined) return RELAY;
    if (isAtOrBefore(id, this.#lastEventId)) return SKIP;
    if (!isResumed || !isFirstNew || this.#largestStep === undefined) return RELAY;
    const step = Number(id) - Number(this.#lastEventId);
    return step > this.#largestStep
      ? {kind: 'fault', reason: `events are missing between ${this.#lastEventId} and ${id}`}
      : RELAY;
  }

  /** Records an event that the client has received. */
  record({id, isComment}: RawEvent): void {
    if (isComment) return;
    if (id === undefined) {
      this.#hasUnidentifiedEvent = true;
      return;
    }
    if (this.#lastEventId !== undefined) {
      const step = Number(id) - Number(this.#lastEventId);
      if (!Number.isNaN(step)) this.#largestStep = Math.max(this.#largestStep ?? 0, step);
    }
    this.#lastEventId = id;
  }
}

/** Whether an event ID is equal to or before another one; numeric IDs increase. */
function isAtOrBefore(id: string, last: string): boolean {
  const [number, lastNumber] = [Number(id), Number(last)];
  if (Number.isNaN(number) || Number.isNaN(lastNumber)) return id === last;
  return number <= lastNumber;
}
