/** The duty to report each account's requests per window: counting, exchange and reports of one instance. */
import {
  type Clock,
  contain,
  type DefectReporter,
  DisposableStore,
  type Logger,
  type Random,
  repeat,
} from '@marigoldfold/runtime';
import type {KeyValue, KeyValueEntry} from '@marigoldfold/state';
import {FleetTime} from './fleetTime.js';
import {UsageCollector} from './usageCollector.js';
import {UsageCounter} from './usageCounter.js';
import {
  type DutyHold,
  giveUpAfterMs,
  type ReportOutcome,
  type ReportTotals,
  UsageReporter,
  type UsageReport,
} from './usageReporter.js';
import type {UsageStatement} from './usageStatement.js';

/** Identity, timing and dependencies of the duty. */
export interface UsageDutyOptions {
  /** Monotonic clock. */
  readonly clock: Clock;
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly reportDefect: DefectReporter;
  readonly self: string;
  /** Length of a window. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly lateMs: number;
  readonly lease: DutyHold;
  readonly report: (report: UsageReport) => Promise<ReportOutcome>;
  readonly store: Pick<KeyValue, 'get' | 'write'>;
  /** Key of the record of reported windows. */
  readonly key: string;
  /** Names of the other registered instances. */
  readonly peers: () => readonly string[];
  readonly send: (peer: string, update: {readonly usage: readonly UsageStatement[]}) => void;
  /** Name of the instance that holds the duty, according to the copy of the store. */
  readonly holderName: () => string | undefined;
}

/** Interval in which messages, completeness and retries are checked. */
const TICK_MS = 100;
const MIN_KEPT_WINDOWS = 8;

/** The part of one instance in the reports; it runs no timer and sends nothing before it is started. */
export class UsageDuty implements Disposable {
  readonly counter: UsageCounter;
  readonly #options: UsageDutyOptions;
  readonly #time: FleetTime;
  readonly #collector: UsageCollector;
  readonly #reporter: UsageReporter;
  readonly #resources = new DisposableStore();
  #isStarted = false;

  constructor(options: UsageDutyOptions) {
    const {windowMs, lateMs} = options;
    this.#options = options;
    const time = new FleetTime(options);
    // No window may be forgotten before it is given up.
    const openWindows = Math.ceil(giveUpAfterMs(lateMs) / windowMs) + 2;
    const keptWindows = Math.max(MIN_KEPT_WINDOWS, openWindows);
    const counter = new UsageCounter({time, windowMs, keptWindows});
    const lifetime = Math.floor(options.random() * Number.MAX_SAFE_INTEGER).toString(36);
    const recorded = () => this.#reporter.recorded;
    this.#time = time;
    this.counter = counter;
    this.#collector = new UsageCollector({
      ...options,
      time,
      counter,
      lifetime,
      keptWindows,
      recorded,
    });
    this.#reporter = new UsageReporter({
      ...options,
      time,
      collector: this.#collector,
      keptWindows,
    });
  }

  /** Numbers of windows reported by this instance, for metrics. */
  get totals(): ReportTotals {
    return this.#reporter.totals;
  }

  start(): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    const tick = () => {
      contain(
        () => {
          this.#time.followWallClock();
          this.#collector.tick();
          this.#reporter.tick();
        },
        (error) => {
          this.#options.reportDefect('usage', error);
        },
      );
    };
    this.#resources.defer(() => {
      this.#collector.leave();
    });
    this.#resources.add(repeat(this.#options.clock, () => TICK_MS, tick));
  }

  /** Records a message of a peer; `statements` may be empty, since any message shows that the peer is alive. */
  receive(from: string, statements: readonly UsageStatement[] = []): void {
    this.#collector.receive(from, statements);
  }

  /** Takes notice of the record in this instance's copy of the store; undefined if the key does not exist. */
  observeRecord(entry: Pick<KeyValueEntry, 'value'> | undefined): void {
    this.#reporter.observeRecord(entry);
  }

  /** Sends the last counts to the other instances and stops. */
  [Symbol.dispose](): void {
    this.#resources[Symbol.dispose]();
  }
}
