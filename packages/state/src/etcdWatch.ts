/** Watches a key range through etcd's JSON gateway. */
import type {HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {connectionStoreError, statusStoreError} from './etcdErrors.js';
import {
  encodeText,
  etcdPaths,
  parseJson,
  rangeEnd,
  toEntry,
  watchMessageSchema,
} from './etcdMessages.js';
import type {EtcdEra} from './etcdEra.js';
import type {Listing, StoreError, WatchOptions} from './keyValue.js';
import type {Revision} from './revision.js';

/** HTTP client, address and timeout for what the service has to send at once or go on sending. */
export interface EtcdWatchOptions {
  readonly client: HttpClient;
  /** `host:port` of the service. */
  readonly address: string;
  /** Timeout, in milliseconds, of the confirmation of the watch and of each pause in a message. */
  readonly timeoutMs: number;
}

const HTTP_OK = 200;

/**
 * Resolves with the first changes, or without changes when the timeout passes after the service has confirmed the
 * watch and while no message is on its way.
 */
export async function watch(
  {client, address, timeoutMs}: EtcdWatchOptions,
  era: EtcdEra,
  prefix: string,
  options: WatchOptions,
): Promise<Result<Listing, StoreError>> {
  const {afterRevision} = options;
  const outdated = era.findError(afterRevision.era, false);
  if (outdated !== undefined) return err(outdated);
  const create = {
    key: encodeText(prefix),
    range_end: rangeEnd(prefix),
    start_revision: String(afterRevision.number + 1),
  };
  const noChanges: Listing = {entries: [], revision: afterRevision};
  const response = await client.send({
    address,
    method: 'POST',
    path: etcdPaths.watch,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({create_request: create}),
    timeoutMs,
    ...(options.signal === undefined ? {} : {signal: options.signal}),
  });
  if (response.isErr()) {
    if (response.error.code === 'aborted') return ok(noChanges);
    return err(connectionStoreError(response.error, 'read'));
  }
  const {status, stream} = response.value;
  if (status !== HTTP_OK) return err(statusStoreError(status, etcdPaths.watch));
  using deadline = new WatchDeadline(timeoutMs, options.timeoutMs, () => stream.destroy());
  let partialLine = '';
  stream.setEncoding('utf8');
  try {
    for await (const chunk of stream) {
      const lines = (partialLine + String(chunk)).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) {
        const result = readMessage(line, era, afterRevision);
        if (result !== undefined) return result;
        deadline.isConfirmed = true;
      }
      deadline.extend(partialLine !== '');
    }
  } catch {
    // The deadline and an abort also end the body with an error; they are distinguished below.
  } finally {
    stream.destroy();
  }
  if (options.signal?.aborted === true || deadline.hasEndedQuiet) return ok(noChanges);
  const code = deadline.hasPassed ? 'timed_out' : 'unavailable';
  return err({
    code,
    message: 'key-value service: the watch was cut off',
    mayHaveTakenEffect: false,
  });
}

/** Result of a watch after a message; undefined if it goes on. */
function readMessage(
  line: string,
  era: EtcdEra,
  afterRevision: Revision,
): Result<Listing, StoreError> | undefined {
  const message = watchMessageSchema.safeParse(parseJson(line));
  if (!message.success) {
    const text = 'key-value service: a message of the watch stream is invalid';
    return err({code: 'rejected', message: text, mayHaveTakenEffect: false});
  }
  const {events, header, canceled, compact_revision: compacted = 0} = message.data.result;
  if (header.revision > 0 && header.revision < afterRevision.number) {
    // A restored cluster would wait until it reaches the revision again, and skip the changes until then.
    const text = 'key-value service: the watch begins after the newest revision';
    return err({code: 'history_lost', message: text, mayHaveTakenEffect: false});
  }
  era.observe(header, 0);
  const restored = era.findError(afterRevision.era, false);
  if (restored !== undefined) return err(restored);
  if (canceled) {
    const code = compacted > 0 ? 'history_lost' : 'unavailable';
    const text = 'key-value service: the watch was canceled';
    return err({code, message: text, mayHaveTakenEffect: false});
  }
  if (events.length === 0) return undefined;
  return ok({
    entries: events.map(({kv}) => toEntry(kv, afterRevision.era)),
    revision: {...afterRevision, number: header.revision},
  });
}

/** Ends a watch that is not confirmed, that is quiet, or whose message stalls. */
class WatchDeadline implements Disposable {
  readonly #callTimeoutMs: number;
  readonly #quietTimeoutMs: number;
  readonly #end: () => void;
  readonly #startedAtMs = performance.now();
  #isInMessage = false;
  #timer: NodeJS.Timeout | undefined;
  isConfirmed = false;
  hasPassed = false;

  constructor(callTimeoutMs: number, quietTimeoutMs: number, end: () => void) {
    this.#callTimeoutMs = callTimeoutMs;
    this.#quietTimeoutMs = quietTimeoutMs;
    this.#end = end;
    this.extend(false);
  }

  /** Whether the time passed without changes, as the service has confirmed. */
  get hasEndedQuiet(): boolean {
    return this.hasPassed && this.isConfirmed && !this.#isInMessage;
  }

  /** Sets the deadline after bytes that end inside a message, or after a whole one. */
  extend(isInMessage: boolean): void {
    this.#isInMessage = isInMessage;
    const quietMs = this.#startedAtMs + this.#quietTimeoutMs - performance.now();
    const isWaiting = isInMessage || !this.isConfirmed;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => {
        this.hasPassed = true;
        this.#end();
      },
      isWaiting ? this.#callTimeoutMs : Math.max(0, quietMs),
    );
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }
}
