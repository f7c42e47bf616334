/** Finds prompt parts that crash endpoints, and keeps requests with them from further endpoints. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import {hash64} from '../hash.js';
import type {PromptSize} from './placementRequest.js';

/** Shared prompt parts of the requests that had not begun at an endpoint when it crashed, as one instance knows them. */
export interface EndpointCrash {
  /** Identifies one lifetime of the endpoint, so that several instances can report the same crash. */
  readonly lifetime: string;
  readonly parts: readonly string[];
}

/** Dependencies and callbacks of a quarantine. */
export interface PromptQuarantineOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with the digest of a part when this instance finds that it crashes endpoints. */
  readonly onQuarantined: (digest: string) => void;
  /** Called with the digest of a quarantined part when a request with it has begun after all. */
  readonly onCleared: (digest: string) => void;
}

/** Crashes that a part must be present at to be quarantined, without any request with it beginning in between. */
const MIN_CRASHES = 3;
/** Crashes that a part must be present at for a request with it not to be retried. */
const MIN_SUSPECT_CRASHES = 2;
/** Crashes within this time count once, in milliseconds: one cause may end many endpoints. */
const SAME_CAUSE_MS = 250;
/** Time after a crash, in milliseconds, in which requests at other endpoints can still begin and clear their parts. */
const CLEARING_DELAY_MS = 300;
/** Age from which a crash is no evidence any more, in milliseconds. */
const MAX_EVIDENCE_AGE_MS = 60_000;
/** Time for which a part stays quarantined, in milliseconds; the longest lease of the platform's store. */
export const QUARANTINE_MS = 600_000;
/** Bounds on what is kept; the oldest entry is dropped. */
const MAX_CRASHES = 256;
const MAX_QUARANTINED = 256;

interface CrashEvidence {
  readonly atMs: number;
  /** Parts of requests that had not begun, less those of requests that have begun since. */
  readonly parts: Set<string>;
  /** Whether one of the parts is quarantined, so that the crash is no evidence against the others. */
  isExplained: boolean;
}

/** Quarantine of the prompt parts that crash endpoints; a part is known to other instances by its digest. */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  /** Evidence by lifetime of the endpoint, oldest first. */
  readonly #crashes = new Map<string, CrashEvidence>();
  /** Clock times of the additions by digest, oldest first. */
  readonly #quarantined = new Map<string, number>();
  /**
   * Parts that were present at the same crashes as a quarantined one, with the clock time of that finding. Another
   * crash is enough to quarantine them.
   */
  readonly #jointSuspects = new Map<string, number>();
  #lastBegunAtMs = Number.NEGATIVE_INFINITY;
  #isEvaluationScheduled = false;

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
  }

  /** Number of quarantined parts. */
  get size(): number {
    return this.#quarantined.size;
  }

  /** Whether a prompt has a part for which no endpoint is to be used. */
  isQuarantined(prompt: PromptSize | undefined): boolean {
    if (prompt === undefined || this.#quarantined.size === 0) return false;
    this.#expire();
    return sharedPartIds(prompt).some((part) => this.#quarantined.has(digestOf(part)));
  }

  /** Whether a prompt has a part that was present at crashes, but not often enough to quarantine it. */
  isSuspect(prompt: PromptSize | undefined): boolean {
    if (prompt === undefined || this.#crashes.size === 0) return false;
    return sharedPartIds(prompt).some(
      (part) => countCauses(this.#crashTimesMs(part)) >= MIN_SUSPECT_CRASHES,
    );
  }

  /** Adds a part that another instance has quarantined. */
  add(digest: string): void {
    if (this.#quarantined.has(digest)) return;
    this.#quarantined.set(digest, this.#options.clock.now());
    for (const evidence of this.#crashes.values()) {
      if ([...evidence.parts].some((part) => digestOf(part) === digest))
        evidence.isExplained = true;
    }
    const [oldest] = this.#quarantined.keys();
    if (this.#quarantined.size > MAX_QUARANTINED && oldest !== undefined)
      this.#quarantined.delete(oldest);
    this.#options.logger.info('prompt part quarantined', {belief: 'quarantine', digest});
  }

  /** Removes a part that another instance has cleared, or whose quarantine has ended. */
  remove(digest: string): void {
    if (!this.#quarantined.delete(digest)) return;
    this.#options.logger.info('prompt part cleared', {belief: 'quarantine', digest});
  }

  /** Records what one instance knows of a crash. */
  recordCrash({lifetime, parts}: EndpointCrash): void {
    const {clock, logger} = this.#options;
    this.#dropOldEvidence();
    const evidence = this.#crashes.get(lifetime) ?? {
      atMs: clock.now(),
      parts: new Set<string>(),
      isExplained: false,
    };
    for (const part of parts) evidence.parts.add(part);
    evidence.isExplained ||= parts.some((part) => this.#quarantined.has(digestOf(part)));
    this.#crashes.set(lifetime, evidence);
    logger.info('endpoint crashed', {
      belief: 'endpoint',
      lifetime,
      parts: [...evidence.parts].join(' '),
      isExplained: evidence.isExplained,
    });
    if (this.#isEvaluationScheduled) return;
    this.#isEvaluationScheduled = true;
    clock.schedule(CLEARING_DELAY_MS, () => {
      this.#isEvaluationScheduled = false;
      this.#evaluate();
    });
  }

  /** Records that a request began at an endpoint, which clears all parts of its prompt. */
  recordBegun(prompt: PromptSize): void {
    this.#lastBegunAtMs = this.#options.clock.now();
    if (this.#crashes.size + this.#quarantined.size + this.#jointSuspects.size === 0) return;
    for (const part of sharedPartIds(prompt)) {
      for (const {parts} of this.#crashes.values()) parts.delete(part);
      this.#jointSuspects.delete(part);
      const digest = digestOf(part);
      if (!this.#quarantined.has(digest)) continue;
      this.remove(digest);
      this.#options.onCleared(digest);
    }
  }

  /** Quarantines the part that explains most crashes, then the one that explains most of the remaining ones. */
  #evaluate(): void {
    while (true) {
      const counts = this.#countCrashes();
      let most = 0;
      for (const count of counts.values()) most = Math.max(most, count);
      const suspects = [...counts].filter(([, count]) => count === most).map(([part]) => part);
      // Parts are in the order of the prompts: a later one comes with fewer requests than those before it.
      const part = suspects.at(-1);
      if (part === undefined || !this.#areOthersServed(part)) return;
      for (const other of suspects) this.#jointSuspects.set(other, this.#options.clock.now());
      this.#quarantine(part, most);
    }
  }

  /** Numbers of crashes of the parts that were present at enough of them. */
  #countCrashes(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {parts, isExplained} of this.#crashes.values()) {
      if (isExplained) continue;
      for (const part of parts) {
        const count = countCauses(this.#crashTimesMs(part));
        if (count >= (this.#jointSuspects.has(part) ? 1 : MIN_CRASHES)) counts.set(part, count);
      }
    }
    return counts;
  }

  /** Whether requests have begun since the first of the crashes; if none has, the part is not the cause. */
  #areOthersServed(part: string): boolean {
    return this.#lastBegunAtMs > (this.#crashTimesMs(part)[0] ?? Number.POSITIVE_INFINITY);
  }

  #quarantine(part: string, crashes: number): void {
    const digest = digestOf(part);
    this.#jointSuspects.delete(part);
    this.#options.logger.warn('prompt part crashes endpoints', {
      belief: 'quarantine',
      part,
      digest,
      crashes,
    });
    this.add(digest);
    this.#options.onQuarantined(digest);
  }

  /** Times of the unexplained crashes at which a part was present, in ascending order. */
  #crashTimesMs(part: string): readonly number[] {
    const times: number[] = [];
    for (const {atMs, parts, isExplained} of this.#crashes.values()) {
      if (!isExplained && parts.has(part)) times.push(atMs);
    }
    return times;
  }

  #dropOldEvidence(): void {
    const fromMs = this.#options.clock.now() - MAX_EVIDENCE_AGE_MS;
    for (const [lifetime, {atMs}] of this.#crashes) {
      if (atMs >= fromMs && this.#crashes.size < MAX_CRASHES) break;
      this.#crashes.delete(lifetime);
    }
    for (const [part, atMs] of this.#jointSuspects) {
      if (atMs < fromMs) this.#jointSuspects.delete(part);
    }
  }

  #expire(): void {
    const fromMs = this.#options.clock.now() - QUARANTINE_MS;
    for (const [digest, addedAtMs] of this.#quarantined) {
      if (addedAtMs >= fromMs) return;
      this.remove(digest);
    }
  }
}

/** Parts that other requests may share; the last one belongs to the request or its session. */
export function sharedPartIds({parts}: PromptSize): readonly string[] {
  return parts.slice(0, -1).map(({id}) => id);
}

/** Digest by which instances refer to a part, since the length of its id is up to clients. */
function digestOf(part: string): string {
  return hash64(part).toString(16);
}

/** Number of causes that the crashes at ascending times had at least. */
function countCauses(timesMs: readonly number[]): number {
  let count = 0;
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const atMs of timesMs) {
    if (atMs - lastMs < SAME_CAUSE_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}
