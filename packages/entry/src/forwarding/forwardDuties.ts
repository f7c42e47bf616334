/** Carries out the duties that one instance at a time has: acquires their lease and reports usage under it. */
import {
  LeaderLease,
  type PeerChannel,
  type PeerUpdate,
  type ReportOutcome,
  UsageDuty,
  type UsageReport,
} from '@marigoldfold/coordination';
import {
  type Clock,
  type DefectReporter,
  type Logger,
  type Random,
  sleep,
} from '@marigoldfold/runtime';
import type {KeyValue, KeyValueEntry} from '@marigoldfold/state';
import type {Registry} from 'prom-client';
import {registerDutyMetrics} from './dutyMetrics.js';

/** Bounds, keys and service of the duties. */
export interface ForwardDutyOptions {
  /** Duration of the lease of the duties, in milliseconds. */
  readonly leaseMs: number;
  /** Length of a usage window, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly lateMs: number;
  /** Store key that names the holder of the duties. */
  readonly holderKey: string;
  /** Store key of the counts that are reported. */
  readonly usageKey: string;
  readonly reportUsage: (report: UsageReport) => Promise<ReportOutcome>;
}

/** What the duties use of the process. */
export interface DutyContext {
  readonly clock: Clock;
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly reportDefect: DefectReporter;
  readonly store: KeyValue;
  /** Name of this instance. */
  readonly self: string;
  readonly peers: PeerChannel;
}

/** Time for the last messages to leave the socket before it is closed, in milliseconds. */
const LAST_MESSAGES_MS = 50;

/** The duties of one instance, from their creation on. */
export class ForwardDuties implements Disposable {
  readonly #options: ForwardDutyOptions;
  readonly #clock: Clock;
  readonly #lease: LeaderLease;
  readonly #usage: UsageDuty;
  /** Whether the lease has been told what the copy of the store shows. */
  #isHolderObserved = false;

  constructor(options: ForwardDutyOptions, context: DutyContext, metricsRegistry: Registry) {
    this.#options = options;
    this.#clock = context.clock;
    const {random, self, peers} = context;
    const lease = new LeaderLease({
      ...context,
      peers: () => peers.names,
      key: options.holderKey,
      instance: self,
      lifetime: Math.floor(random() * Number.MAX_SAFE_INTEGER),
      leaseMs: options.leaseMs,
    });
    this.#lease = lease;
    this.#usage = new UsageDuty({
      ...context,
      peers: () => peers.names,
      send: (peer, update) => {
        peers.sendTo(peer, update);
      },
      lease,
      windowMs: options.windowMs,
      lateMs: options.lateMs,
      key: options.usageKey,
      report: options.reportUsage,
      holderName: () => lease.holder?.instance,
    });
    registerDutyMetrics(metricsRegistry, {
      token: () => lease.current()?.token,
      leaseLeftMs: () => lease.remainingMs,
      windows: () => this.#usage.totals,
    });
    this.#usage.start();
  }

  /** Counts a request of an account that has begun to run; called once for each request. */
  recordBegun(account: string): void {
    this.#usage.counter.recordBegun(account);
  }

  /** Takes notice of a changed record of the store; a removed one has an empty value. */
  observe(change: KeyValueEntry): void {
    if (change.key === this.#options.holderKey) {
      this.#isHolderObserved = true;
      this.#lease.observeHolder(change);
    } else if (change.key === this.#options.usageKey) {
      this.#usage.observeRecord(change);
    }
  }

  /** Called when the copy of the store has been read or confirmed; without a holder in the first one, there is none. */
  confirmCopy(): void {
    if (this.#isHolderObserved) return;
    this.#isHolderObserved = true;
    this.#lease.observeHolder(undefined);
  }

  /** Receives the message of another instance, which shows that it is alive even if it states no counts. */
  receive({from, usage}: PeerUpdate): void {
    this.#usage.receive(from, usage);
  }

  /** Gives the lease up at the beginning of a planned stop; counting goes on while requests are served. */
  release(): void {
    this.#lease[Symbol.dispose]();
  }

  /** Sends the last counts; resolves when the socket may be closed. */
  async leave(): Promise<void> {
    this[Symbol.dispose]();
    await sleep(this.#clock, LAST_MESSAGES_MS);
  }

  [Symbol.dispose](): void {
    this.release();
    this.#usage[Symbol.dispose]();
  }
}
