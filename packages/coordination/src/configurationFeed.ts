/** The configuration that is in force at this process, and the tickets that led to it. */
import type {ConfigurationStatus} from '@marigoldfold/protocol';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {
  advance,
  type ChainError,
  type DecidedTicket,
  genesis,
  type Head,
  openSnapshot,
  rotatedKey,
  type Snapshot,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {BehaviorSubject, type Observable} from 'rxjs';

/** What a feed needs. */
export interface ConfigurationFeedOptions {
  /** Public key that the first ticket's decision is checked against. */
  readonly monitorKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface AppliedTicket {
  readonly decided: DecidedTicket;
  readonly head: Head;
  readonly inForceAtMs: number;
}

/** Tickets that a process keeps to pass them on. */
const RETAINED_TICKETS = 512;

/** The configuration in force at this process. It only ever moves forward along the chain. */
export class ConfigurationFeed implements Disposable {
  readonly #options: ConfigurationFeedOptions;
  readonly #heads: BehaviorSubject<Head>;
  /** The last steps, oldest first. */
  readonly #applied: AppliedTicket[] = [];
  readonly #rotations: DecidedTicket[] = [];
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
    return Math.max(0, this.#options.clock.now() - this.#confirmedAtMs);
  }

  /** Takes the next ticket; anything that does not follow the head is refused. */
  accept(decided: DecidedTicket): Result<void, ChainError> {
    const {logger} = this.#options;
    const next = advance(this.head, decided);
    if (next.isErr()) {
      const {code, message} = next.error;
      logger.warn('ticket refused', {ticket: decided.ticket.number, code, reason: message});
      return err(next.error);
    }
    const {number, configuration} = next.value;
    logger.info('configuration step', {
      decision: 'configuration',
      ticket: number,
      verdict: decided.decision.verdict,
      stateDigest: configuration.digest,
    });
    if (rotatedKey(decided) !== undefined) this.#rotations.push(decided);
    this.#apply(decided, next.value);
    return ok(undefined);
  }

  /** Takes tickets in order, passing over those that are in force, and stops at the first that does not follow. */
  acceptAll(tickets: readonly DecidedTicket[]): Result<void, ChainError> {
    for (const decided of tickets) {
      if (decided.ticket.number <= this.head.number) continue;
      const accepted = this.accept(decided);
      if (accepted.isErr()) return accepted;
    }
    return ok(undefined);
  }

  /** Moves forward to a snapshot after checking its signatures and its digest; an older one changes nothing. */
  installSnapshot(snapshot: Snapshot): Result<void, string> {
    const {logger, monitorKey} = this.#options;
    const {last, rotations} = snapshot.proof;
    const number = last.ticket.number;
    if (number <= this.head.number) return ok(undefined);
    const opened = openSnapshot(snapshot, monitorKey);
    if (opened.isErr()) {
      logger.warn('snapshot refused', {ticket: number, reason: opened.error});
      return err(opened.error);
    }
    const stateDigest = opened.value.configuration.digest;
    logger.info('configuration snapshot', {decision: 'configuration', ticket: number, stateDigest});
    this.#rotations.splice(0, this.#rotations.length, ...rotations);
    this.#applied.length = 0;
    this.#apply(last, opened.value);
    return ok(undefined);
  }

  /** Notes that a number was the newest one in the service some time ago. */
  confirm(number: number, ageMs: number): void {
    if (number !== this.head.number) return;
    const confirmedAtMs = this.#options.clock.now() - ageMs;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? confirmedAtMs, confirmedAtMs);
  }

  /** Tickets after a number, up to a size in bytes; undefined when they are no longer kept. */
  ticketsAfter(number: number, maxBytes: number): readonly DecidedTicket[] | undefined {
    const first = this.#applied[0];
    if (number >= this.head.number) return [];
    if (first === undefined || first.head.number > number + 1) return undefined;
    const tickets: DecidedTicket[] = [];
    let bytes = 0;
    for (const {decided, head} of this.#applied) {
      if (head.number <= number) continue;
      bytes += JSON.stringify(decided).length;
      if (tickets.length > 0 && bytes > maxBytes) break;
      tickets.push(decided);
    }
    return tickets;
  }

  /** A recent head with its proof; the newest when no number is given, undefined when it is not kept. */
  provenHead(number = this.head.number) {
    const step = this.#applied.find(({head}) => head.number === number);
    if (step === undefined) return undefined;
    const rotations = this.#rotations.filter(({ticket}) => ticket.number <= number);
    return {head: step.head, proof: {last: step.decided, rotations}};
  }

  /** What is in force here, and since when a ticket is. */
  status(ticket: number): ConfigurationStatus {
    const step = this.#applied.find(({head}) => head.number === ticket);
    return {
      number: this.head.number,
      stateDigest: this.head.configuration.digest,
      ageMs: this.confirmationAgeMs ?? null,
      inForceAtMs: step?.inForceAtMs ?? null,
    };
  }

  [Symbol.dispose](): void {
    this.#heads.complete();
  }

  #apply(decided: DecidedTicket, head: Head): void {
    this.#applied.push({decided, head, inForceAtMs: this.#options.clock.now()});
    if (this.#applied.length > RETAINED_TICKETS) this.#applied.shift();
    this.#heads.next(head);
  }
}
