/** Reports the counts of complete windows while this instance holds the duty. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {KeyValue, KeyValueEntry, RevisionCondition, StoreError} from '@marigoldfold/state';
import type {FleetTime} from './fleetTime.js';
import {FINAL_DELAY_MS, type UsageCollector} from './usageCollector.js';
import type {UsageCounts} from './usageCounter.js';
import {decodeRecord, digestCounts, encodeRecord, type RecordedWindow} from './usageRecord.js';

/** The lease of the duty, as far as the reporter needs it. */
export interface DutyHold {
  /** The fencing token, and whether this instance may act now; undefined if it does not hold the duty. */
  current(): {readonly token: number; readonly mayAct: boolean} | undefined;
  /** Ends the hold, since the duty service has seen a higher token. */
  loseByFence(token: number): void;
}

/** One call to the duty service. */
export interface UsageReport {
  readonly token: number;
  readonly window: number;
  readonly counts: UsageCounts;
}

/** `limited`: refused for the rate of calls. `unknown`: no response, so that the call may take effect later. */
export type ReportOutcome = 'accepted' | 'fenced' | 'limited' | 'unknown';

/** Record, timing and dependencies of a reporter. */
export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly time: FleetTime;
  readonly logger: Logger;
  readonly collector: UsageCollector;
  readonly lease: DutyHold;
  readonly report: (report: UsageReport) => Promise<ReportOutcome>;
  readonly store: Pick<KeyValue, 'get' | 'write'>;
  /** Key of the record. */
  readonly key: string;
  readonly windowMs: number;
  /** Time after its end at which a report is due. */
  readonly lateMs: number;
  readonly keptWindows: number;
}

/** Numbers of windows since the start of the process. */
export interface ReportTotals {
  readonly reported: number;
  /** Windows recorded without the final counts of all instances. */
  readonly incomplete: number;
  /** Windows that were recorded but not accepted in time. */
  readonly givenUp: number;
}

/** An incomplete window is reported this long before it is due, which leaves room for one lost write and call. */
const RESERVE_MS = 3000;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 2000;

/** Windows are given up this long after their end, when a report is of no more use. */
export function giveUpAfterMs(lateMs: number): number {
  return 2 * lateMs;
}

/** What was read and is in progress under one token. */
interface Session {
  readonly token: number;
  /** The record as last read or written; undefined if it has to be read. */
  record: {readonly revision: RevisionCondition; readonly windows: WindowMap} | undefined;
  isWriting: boolean;
  isSending: boolean;
  nextWriteMs: number;
  nextSendMs: number;
  sendRetryMs: number;
}

type WindowMap = ReadonlyMap<number, RecordedWindow>;

interface AddedWindow extends RecordedWindow {
  /** Instances whose final counts are missing. */
  readonly missing: readonly string[];
}

/** Writes the counts of complete windows to the record, then sends what is recorded. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  /**
   * Counts of all windows that this process has seen in the record, including records that a restore of the store has
   * removed. They may have been sent, so that no others may be sent for the same window.
   */
  readonly #known = new Map<number, RecordedWindow>();
  /** Digests of the known counts. */
  readonly #digests = new Map<number, number>();
  /** Windows recorded with different counts, before and after a restore; either may have been sent. */
  readonly #contested = new Set<number>();
  #session: Session | undefined;
  #totals: ReportTotals = {reported: 0, incomplete: 0, givenUp: 0};
  /** Last window that was counted as given up. */
  #givenUpThrough = Number.NEGATIVE_INFINITY;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  get totals(): ReportTotals {
    return this.#totals;
  }

  /** The windows that this process has seen in the record, each with a digest of its counts. */
  get recorded(): ReadonlyMap<number, number> {
    return this.#digests;
  }

  /** Takes notice of the record in this instance's copy of the store. */
  observeRecord(entry: Pick<KeyValueEntry, 'value'> | undefined): void {
    const windows = decodeRecord(entry);
    if (windows !== undefined) this.#learn(windows);
  }

  /** Starts the calls that are due; to be called several times per second. */
  tick(): void {
    this.#prune();
    const hold = this.#options.lease.current();
    if (hold?.mayAct !== true) return;
    if (this.#session?.token !== hold.token) this.#session = newSession(hold.token);
    const session = this.#session;
    if (!session.isWriting) void this.#write(session);
    if (!session.isSending) void this.#send(session);
  }

  async #write(session: Session): Promise<void> {
    const {clock, store, key, logger, collector} = this.#options;
    if (clock.now() < session.nextWriteMs) return;
    session.isWriting = true;
    try {
      if (session.record === undefined) {
        const entry = await store.get(key);
        if (entry.isErr()) this.#delayWrite(session, entry.error);
        else this.#read(session, entry.value);
      }
      if (session.record === undefined || !this.#mayAct(session)) return;
      const {revision, windows} = session.record;
      const added = this.#windowsToRecord(windows);
      if (added.size === 0) return;
      const next = this.#nextRecord(windows, added);
      const written = await store.write(key, encodeRecord(next), {ifRevision: revision});
      if (written.isErr()) {
        if (written.error.code === 'restored') session.record = undefined;
        this.#delayWrite(session, written.error);
        return;
      }
      if (written.value.kind === 'conflict') {
        this.#read(session, written.value.current);
        return;
      }
      session.record = {revision: written.value.revision, windows: next};
      this.#learn(next);
      for (const [window, {counts, missing}] of added) {
        if (missing.length > 0) this.#count('incomplete');
        logger.info('usage window recorded', {
          window,
          token: session.token,
          counts: JSON.stringify(counts),
          missing: missing.join(' '),
        });
      }
      // Tells the others before the first call, in case the store loses the record and this process ends.
      collector.sendNow();
    } finally {
      session.isWriting = false;
    }
    if (!session.isSending) await this.#send(session);
  }

  /** Sends the first window that is recorded and not accepted, then the next one. */
  async #send(session: Session): Promise<void> {
    const {clock, lease, report, logger} = this.#options;
    session.isSending = true;
    try {
      while (clock.now() >= session.nextSendMs && this.#mayAct(session)) {
        const window = this.#windowToSend(session);
        if (window === undefined) return;
        const {counts} = window;
        const outcome = await report({token: session.token, window: window.number, counts});
        const fields = {window: window.number, token: session.token, outcome};
        if (outcome === 'accepted') {
          this.#known.set(window.number, {counts, isAccepted: true});
          session.sendRetryMs = MIN_RETRY_MS;
          this.#count('reported');
          logger.info('usage window reported', fields);
          continue;
        }
        logger.warn('usage report failed', fields);
        if (outcome === 'fenced') {
          lease.loseByFence(session.token);
          return;
        }
        session.nextSendMs = clock.now() + session.sendRetryMs;
        session.sendRetryMs = Math.min(MAX_RETRY_MS, 2 * session.sendRetryMs);
      }
    } finally {
      session.isSending = false;
    }
  }

  #mayAct(session: Session): boolean {
    const hold = this.#options.lease.current();
    return hold?.token === session.token && hold.mayAct;
  }

  #windowToSend(
    session: Session,
  ): {readonly number: number; readonly counts: UsageCounts} | undefined {
    const recorded = [...(session.record?.windows.keys() ?? [])].sort((a, b) => a - b);
    for (const number of recorded) {
      const known = this.#known.get(number);
      if (known === undefined || known.isAccepted || this.#isContested(number)) continue;
      if (number >= this.#oldestOpen) return {number, counts: known.counts};
    }
    return undefined;
  }

  /** Whether other counts of a known window have been recorded as well; either may have been sent. */
  #isContested(window: number): boolean {
    const digest = this.#digests.get(window);
    const others = this.#options.collector.recordedElsewhere(window);
    return this.#contested.has(window) || [...others].some((other) => other !== digest);
  }

  /** Windows to add to the record: those that are complete, in order, and those that the store has lost. */
  #windowsToRecord(windows: WindowMap): ReadonlyMap<number, AddedWindow> {
    const {time, windowMs, lateMs, collector} = this.#options;
    const added = new Map<number, AddedWindow>();
    const first = Math.min(collector.firstWindow, ...windows.keys(), ...this.#known.keys());
    const nowMs = time.nowMs;
    const lastFinal = Math.floor((nowMs - FINAL_DELAY_MS) / windowMs) - 1;
    for (let window = Math.max(first, this.#oldestOpen); window <= lastFinal; window += 1) {
      if (windows.has(window)) continue;
      const known = this.#known.get(window);
      if (known !== undefined) {
        if (!known.isAccepted && !this.#isContested(window))
          added.set(window, {...known, missing: []});
        continue;
      }
      // Others have seen counts that this process has not; it cannot send the same.
      if (collector.recordedElsewhere(window).size > 0) continue;
      const missing = collector.missing(window);
      const isLate = nowMs >= (window + 1) * windowMs + lateMs - RESERVE_MS;
      if (!isLate && missing.length > 0) break;
      added.set(window, {counts: collector.counts(window), isAccepted: false, missing});
    }
    return added;
  }

  /** The stored windows, the added ones, and those that the store has lost. */
  #nextRecord(windows: WindowMap, added: WindowMap): WindowMap {
    const merged = new Map([...this.#known, ...windows, ...added]);
    for (const [window, {counts, isAccepted}] of merged) {
      const isKnown = this.#digests.get(window) === digestCounts(counts);
      const isKnownAccepted = isKnown && this.#known.get(window)?.isAccepted === true;
      merged.set(window, {counts, isAccepted: isAccepted || isKnownAccepted});
    }
    const kept = [...merged].sort(([a], [b]) => a - b).slice(-this.#options.keptWindows);
    return new Map(kept);
  }

  #read(session: Session, entry: KeyValueEntry | undefined): void {
    const windows = decodeRecord(entry);
    if (windows === undefined) this.#options.logger.error('usage record cannot be read');
    session.record = {revision: entry?.revision ?? 0, windows: windows ?? new Map()};
    this.#learn(session.record.windows);
  }

  #learn(windows: WindowMap): void {
    for (const [window, {counts, isAccepted}] of windows) {
      if (window < this.#oldestKept) continue;
      const digest = digestCounts(counts);
      const known = this.#known.get(window);
      if (known === undefined || (isAccepted && this.#digests.get(window) === digest)) {
        this.#known.set(window, {counts, isAccepted});
        this.#digests.set(window, digest);
      } else if (this.#digests.get(window) !== digest && !this.#contested.has(window)) {
        this.#contested.add(window);
        this.#options.logger.error('usage window recorded twice', {window});
      }
    }
  }

  #delayWrite(session: Session, error: StoreError): void {
    session.nextWriteMs = this.#options.clock.now() + MIN_RETRY_MS;
    this.#options.logger.warn('usage record failed', {reason: error.message});
  }

  /** The first window that may still be reported. */
  get #oldestOpen(): number {
    const {time, windowMs, lateMs} = this.#options;
    return Math.floor((time.nowMs - giveUpAfterMs(lateMs)) / windowMs);
  }

  /** The first window whose counts are remembered. */
  get #oldestKept(): number {
    const {time, windowMs, keptWindows} = this.#options;
    return Math.floor(time.nowMs / windowMs) - keptWindows + 1;
  }

  #prune(): void {
    const oldestKept = this.#oldestKept;
    const oldestOpen = this.#oldestOpen;
    const isHolder = this.#options.lease.current()?.mayAct === true;
    for (const [window, {isAccepted}] of this.#known) {
      if (isHolder && !isAccepted && window < oldestOpen && window > this.#givenUpThrough) {
        this.#givenUpThrough = window;
        this.#count('givenUp');
        this.#options.logger.error('usage window given up', {window});
      }
      if (window >= oldestKept) continue;
      this.#known.delete(window);
      this.#digests.delete(window);
      this.#contested.delete(window);
    }
  }

  #count(kind: keyof ReportTotals): void {
    this.#totals = {...this.#totals, [kind]: this.#totals[kind] + 1};
  }
}

function newSession(token: number): Session {
  return {
    token,
    record: undefined,
    isWriting: false,
    isSending: false,
    nextWriteMs: Number.NEGATIVE_INFINITY,
    nextSendMs: Number.NEGATIVE_INFINITY,
    sendRetryMs: MIN_RETRY_MS,
  };
}
