/** Reads and writes server-sent events over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {MAX_EVENT_BYTES} from './eventSplitter.js';

/** A parsed server-sent event. */
export type StreamEvent = EventSourceMessage;

/** Sends the status and headers of an event stream immediately. */
export function openEventStream(
  response: ServerResponse,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(200, {
    ...headers,
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
  });
  response.flushHeaders();
}

/** Fields of an event to send; `data` may have several lines. */
export interface OutgoingEvent {
  readonly data: string;
  readonly id?: string | undefined;
  readonly event?: string | undefined;
}

/** Serializes one event, including the empty line that ends it. */
export function formatEvent({data, id, event}: OutgoingEvent): string {
  let text = id === undefined ? '' : `id: ${id}\n`;
  if (event !== undefined) text += `event: ${event}\n`;
  const lines = data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data;
  return `${text}data: ${lines}\n\n`;
}

/** Maximum number of bytes read after the last event so that the connection can be reused. */
const MAX_TRAILING_BYTES = 65_536;
const TRAILING_BYTES_TIMEOUT_MS = 1000;

/**
 * Yields events until the body ends; a truncated body ends the iteration without an error. A reader
 * that stops before the event that satisfies `isLast` closes the connection, as does an event over
 * `MAX_EVENT_BYTES`.
 */
export async function* readEvents(
  body: IncomingMessage,
  isLast: (event: StreamEvent) => boolean = () => false,
): AsyncGenerator<StreamEvent, void> {
  let events: StreamEvent[] = [];
  const parser = createParser({
    onEvent: (event) => {
      events.push(event);
    },
  });
  body.setEncoding('utf8');
  let hasLastEvent = false;
  let pendingBytes = 0;
  try {
    for await (const text of body.iterator({destroyOnReturn: false})) {
      parser.feed(text as string);
      const ready = events;
      events = [];
      pendingBytes = ready.length > 0 ? 0 : pendingBytes + (text as string).length;
      if (pendingBytes > MAX_EVENT_BYTES) return;
      for (const event of ready) {
        hasLastEvent ||= isLast(event);
        yield event;
      }
    }
  } catch {
    // No error is needed here: callers detect a truncated stream by its missing end marker.
  } finally {
    // Reading the few trailing bytes lets the next request reuse the connection.
    if (hasLastEvent) discardTrailingBytes(body);
    else body.destroy();
  }
}

function discardTrailingBytes(body: IncomingMessage): void {
  if (body.readableEnded) return;
  let size = 0;
  const timer = setTimeout(() => {
    body.destroy();
  }, TRAILING_BYTES_TIMEOUT_MS);
  body.once('close', () => {
    clearTimeout(timer);
  });
  body.on('data', (text: string) => {
    size += text.length;
    if (size > MAX_TRAILING_BYTES) body.destroy();
  });
}
