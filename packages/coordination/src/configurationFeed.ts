/** Configuration in force at this process, and the recently applied tickets. */
import type {ConfigurationStatus} from '@marigoldfold/protocol';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {
  advanceHead,
  type ChainError,
  type DecidedTicket,
  createInitialHead,
  type ChainHead,
  verifySnapshot,
  findNewMonitorKey,
  type Snapshot,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {BehaviorSubject, type Observable} from 'rxjs';

/** Verification key, clock and logger of a configuration feed. */
export interface ConfigurationFeedOptions {
  /** Public key that verifies the decision on the first ticket. */
  readonly monitorKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface AppliedTicket {
  readonly decided: DecidedTicket;
  readonly head: ChainHead;
  readonly inForceAtMs: number;
}

/** Number of recent tickets kept in memory, from which peers can catch up. */
const RETAINED_TICKETS = 512;

/** Applies decided tickets and snapshots. The ticket number of the head never decreases. */
export class ConfigurationFeed implements Disposable {
  readonly #options: ConfigurationFeedOptions;
  readonly #heads: BehaviorSubject<ChainHead>;
  /** Recently applied tickets, oldest first. */
  readonly #applied: AppliedTicket[] = [];
  readonly #rotations: DecidedTicket[] = [];
  #confirmedAtMs: number | undefined;

  constructor(options: ConfigurationFeedOptions) {
    this.#options = options;
    this.#heads = new BehaviorSubject(createInitialHead(options.monitorKey));
  }

  /** Head of the ticket chain: the last applied ticket and the configuration that results. */
  get head(): ChainHead {
    return this.#heads.value;
  }

  /** Emits the current head on subscription and every later one. */
  get heads(): Observable<ChainHead> {
    return this.#heads;
  }

  /**
   * Milliseconds since the head was last confirmed by the
   * key-value service; undefined before the first time.
   */
  get confirmationAgeMs(): number | undefined {
    if (this.#confirmedAtMs === undefined) return undefined;
    return Math.max(0, this.#options.clock.now() - this.#confirmedAtMs);
  }

  /** Applies a ticket; returns an error if the ticket does not directly follow the head. */
  accept(decided: DecidedTicket): Result<void, ChainError> {
    const {logger} = this.#options;
    const next = advanceHead(this.head, decided);
    if (next.isErr()) {
      const {code, message} = next.error;
      logger.warn('ticket refused', {ticket: decided.ticket.number, code, reason: message});
      return err(next.error);
    }
    const {number, configuration} = next.value;
    logger.info('configuration ticket applied', {
      decision: 'configuration',
      ticket: number,
      verdict: decided.decision.verdict,
      stateDigest: configuration.digest,
    });
    if (findNewMonitorKey(decided) !== undefined) this.#rotations.push(decided);
    this.#apply(decided, next.value);
    return ok(undefined);
  }

  /** Applies tickets in order, skipping those already applied; stops at the first that does not follow. */
  acceptAll(tickets: readonly DecidedTicket[]): Result<void, ChainError> {
    for (const decided of tickets) {
      if (decided.ticket.number <= this.head.number) continue;
      const accepted = this.accept(decided);
      if (accepted.isErr()) return accepted;
    }
    return ok(undefined);
  }

  /** Replaces the head by a snapshot after verifying its signatures and digest; ignores an older snapshot. */
  installSnapshot(snapshot: Snapshot): Result<void, string> {
    const {logger, monitorKey} = this.#options;
    const {last, rotations} = snapshot.proof;
    const number = last.ticket.number;
    if (number <= this.head.number) return ok(undefined);
    const opened = verifySnapshot(snapshot, monitorKey);
    if (opened.isErr()) {
      logger.warn('snapshot refused', {ticket: number, reason: opened.error});
      return err(opened.error);
    }
    const stateDigest = opened.value.configuration.digest;
    logger.info('configuration snapshot applied', {
      decision: 'configuration',
      ticket: number,
      stateDigest,
    });
    this.#rotations.splice(0, this.#rotations.length, ...rotations);
    this.#applied.length = 0;
    this.#apply(last, opened.value);
    return ok(undefined);
  }

  /** Records that `number` was the newest ticket in the key-value service `ageMs` milliseconds ago. */
  confirm(number: number, ageMs: number): void {
    if (number !== this.head.number) return;
    const confirmedAtMs = this.#options.clock.now() - ageMs;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? confirmedAtMs, confirmedAtMs);
  }

  /** Tickets after ticket `number`, up to `maxBytes`; undefined if they are no longer retained. */
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

  /** Head at ticket `number`, the current one by default, with its proof; undefined if no longer retained. */
  provenHead(number = this.head.number) {
    const applied = this.#applied.find(({head}) => head.number === number);
    if (applied === undefined) return undefined;
    const rotations = this.#rotations.filter(({ticket}) => ticket.number <= number);
    return {head: applied.head, proof: {last: applied.decided, rotations}};
  }

  /** Number of the configuration in force at this process, and since when `ticket` has been in force. */
  status(ticket: number): ConfigurationStatus {
    const applied = this.#applied.find(({head}) => head.number === ticket);
    return {
      number: this.head.number,
      stateDigest: this.head.configuration.digest,
      ageMs: this.confirmationAgeMs ?? null,
      inForceAtMs: applied?.inForceAtMs ?? null,
    };
  }

  [Symbol.dispose](): void {
    this.#heads.complete();
  }

  #apply(decided: DecidedTicket, head: ChainHead): void {
    this.#applied.push({decided, head, inForceAtMs: this.#options.clock.now()});
    if (this.#applied.length > RETAINED_TICKETS) this.#applied.shift();
    this.#heads.next(head);
  }
}
