/** How the events of an answer travel as server-sent events: a chunk's text goes unquoted. */
import {z} from 'zod';
import {failureSchema} from './failure.js';
import {encodeLoad, loadSchema} from './load.js';
import {type WorkEvent, workEventSchema} from './work.js';

/** The `event` field of everything but chunks. */
export const stateEventName = 'state';

/** A server-sent event. */
export interface ServerSentEvent {
  readonly event?: string | undefined;
  readonly id?: string | undefined;
  readonly data: string;
}

/** The server-sent event for an event of an answer. */
export function encodeWorkEvent(event: WorkEvent): ServerSentEvent {
  if (event.kind === 'chunk') return {id: String(event.number), data: event.data};
  const compact = 'load' in event ? {...event, load: encodeLoad(event.load)} : event;
  return {event: stateEventName, data: JSON.stringify(compact)};
}

/** Whether nothing follows an event of an answer. */
export function isFinalEvent({event, data}: ServerSentEvent): boolean {
  return event === stateEventName && finalEventPattern.test(data);
}

// Events are written by the function above, with their kind first.
const finalEventPattern = /^\{"kind":"(?:end|failed)"/;

/** Reads an event of an answer; undefined when it cannot be read. */
export function decodeWorkEvent(event: ServerSentEvent): WorkEvent | undefined {
  if (event.event !== stateEventName) {
    const number = Number(event.id);
    return Number.isSafeInteger(number) ? {kind: 'chunk', number, data: event.data} : undefined;
  }
  try {
    return workEventSchema.safeParse(JSON.parse(event.data)).data;
  } catch {
    return undefined;
  }
}

/** Checks the body of an answer that has no events: the agent did not take the request. */
export const workRejectionSchema = z.object({failure: failureSchema, load: loadSchema});

/** The agent did not take the request. */
export type WorkRejection = Readonly<z.infer<typeof workRejectionSchema>>;
