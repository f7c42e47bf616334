/** Follows the record of tickets and keeps the configuration that is in force at this process. */
import {type Clock, DisposableStore, type Logger, sleep} from '@marigoldfold/runtime';
import {
  advance,
  decidedTickets,
  type DecidedTicket,
  genesis,
  type Head,
  type TicketRecord,
} from '@marigoldfold/state';
import {BehaviorSubject, type Observable} from 'rxjs';

/** What a feed needs. */
export interface ConfigurationFeedOptions {
  readonly record: TicketRecord;
  /** Public key that the first ticket's decision is checked against. */
  readonly monitorKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds that one watch waits. */
  readonly watchTimeoutMs: number;
  /** Milliseconds between tries while the service fails. */
  readonly retryDelayMs: number;
}

/** The configuration in force at this process. It only ever moves to the next number. */
export class ConfigurationFeed implements Disposable {
  readonly #options: ConfigurationFeedOptions;
  readonly #heads: BehaviorSubject<Head>;
  readonly #disposables = new DisposableStore();
  #confirmedAtMs: number | undefined;

  constructor(options: ConfigurationFeedOptions) {
    this.#options = options;
    this.#heads = new BehaviorSubject(genesis(options.monitorKey));
  }

  /** The newest head. */
  get head(): Head {
    return this.#heads.value;
  }

  /** Each head, beginning with the newest. */
  get heads(): Observable<Head> {
    return this.#heads;
  }

  /** Milliseconds since the head was last confirmed against the service; undefined before the first time. */
  get confirmationAgeMs(): number | undefined {
    if (this.#confirmedAtMs === undefined) return undefined;
    return this.#options.clock.now() - this.#confirmedAtMs;
  }

  /** Begins to follow the record. */
  start(): void {
    const controller = new AbortController();
    this.#disposables.defer(() => {
      controller.abort();
    });
    void this.#follow(controller.signal);
  }

  /** Takes the next ticket; anything that does not follow the head is refused. */
  accept(decided: DecidedTicket): boolean {
    const {logger} = this.#options;
    const next = advance(this.head, decided);
    if (next.isErr()) {
      const {code, message} = next.error;
      logger.error('ticket refused', {ticket: decided.ticket.number, code, reason: message});
      return false;
    }
    const {number, configuration} = next.value;
    logger.info('configuration step', {
      decision: 'configuration',
      ticket: number,
      verdict: decided.decision.verdict,
      stateDigest: configuration.digest,
    });
    this.#heads.next(next.value);
    return true;
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
    this.#heads.complete();
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const {record, clock, logger, watchTimeoutMs, retryDelayMs} = this.#options;
    let isServiceDown = false;
    while (!signal.aborted) {
      const page = await record.read(this.head.number);
      if (page.isErr()) {
        if (!isServiceDown) logger.warn('record not readable', {reason: page.error.message});
        isServiceDown = true;
        await sleep(clock, retryDelayMs, signal);
        continue;
      }
      if (isServiceDown) logger.info('record readable again');
      isServiceDown = false;
      if (!this.#acceptAll(decidedTickets(page.value))) {
        await sleep(clock, retryDelayMs, signal);
        continue;
      }
      this.#confirmedAtMs = clock.now();
      const waited = await record.waitForDecision(page.value.revision, watchTimeoutMs, signal);
      if (waited.isErr()) await sleep(clock, retryDelayMs, signal);
    }
  }

  #acceptAll(tickets: readonly DecidedTicket[]): boolean {
    for (const decided of tickets) {
      if (!this.accept(decided)) return false;
    }
    return true;
  }
}
