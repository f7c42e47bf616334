/** Encodes response events as server-sent events; the text of chunks is sent without JSON quoting. */
import {z} from 'zod';
import {failureSchema} from './failure.js';
import {encodeLoad, loadSchema} from './load.js';
import {type WorkEvent, workEventSchema} from './work.js';

/** The `event` field of all response events except chunks. */
export const stateEventName = 'state';

/** The `event`, `id` and `data` fields of a server-sent event. */
export interface ServerSentEvent {
  readonly event?: string | undefined;
  readonly id?: string | undefined;
  readonly data: string;
}

/** Encodes a response event; load reports are sent as arrays. */
export function encodeWorkEvent(event: WorkEvent): ServerSentEvent {
  if (event.kind === 'chunk') return {id: String(event.number), data: event.data};
  const compact = 'load' in event ? {...event, load: encodeLoad(event.load)} : event;
  return {event: stateEventName, data: JSON.stringify(compact)};
}

/** Whether an event is the last of its response. */
export function isFinalEvent({event, data}: ServerSentEvent): boolean {
  return event === stateEventName && finalEventPattern.test(data);
}

// Relies on the property order of encodeWorkEvent, where `kind` comes first.
const finalEventPattern = /^\{"kind":"(?:end|failed)"/;

/** Decodes a response event; undefined when it is invalid. */
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

/** Schema of the JSON response body of an agent that rejects a request; such a response has no events. */
export const workRejectionSchema = z.object({failure: failureSchema, load: loadSchema});

/** An agent's rejection of a request, with its current load. */
export type WorkRejection = Readonly<z.infer<typeof workRejectionSchema>>;
