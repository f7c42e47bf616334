/** Server-sent events, written to and read from HTTP bodies. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {MAX_EVENT_BYTES} from './eventSplitter.js';

/** An event of a stream. */
export type StreamEvent = EventSourceMessage;

/** Sends the head of an event stream. */
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

/** The fields of an event to send. */
export interface OutgoingEvent {
  readonly data: string;
  readonly id?: string | undefined;
  readonly event?: string | undefined;
}

/** Formats one event. */
export function formatEvent({data, id, event}: OutgoingEvent): string {
  let text = id === undefined ? '' : `id: ${id}\n`;
  if (event !== undefined) text += `event: ${event}\n`;
  const lines = data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data;
  return `${text}data: ${lines}\n\n`;
}

/** Bytes after the last event that are read to keep the connection. */
const MAX_TRAILING_BYTES = 65_536;
/** Time for them to come, in milliseconds. */
const TRAILING_BYTES_TIMEOUT_MS = 1000;

/**
 * Reads events until the body ends; a body that is cut off ends the iteration the same way. A reader
 * that stops early closes the connection, except after the last event of a whole body.
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
    // The reader tells a whole stream by its own end mark, so a broken one needs no error here.
  } finally {
    // Reading the little that follows the last event keeps the connection for the next request.
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
