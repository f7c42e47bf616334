/** Decides which request the endpoint runs next, which it pauses and which it refuses. */
import type {Clock} from '@marigoldfold/runtime';
import {type Failure, tierCount} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {AdaptiveWindow} from './adaptiveWindow.js';
import {isLong, longWorkLimit} from './longWork.js';
import {MinimumShares, type TierShares} from './minimumShares.js';
import {chooseVictim} from './preemption.js';
import {createEntry, type MutableQueueEntry, type QueueItem} from './queueEntry.js';
import {defaultQueueTuning, type QueueTuning} from './queueTuning.js';
import {RecentSamples} from './recentSamples.js';
import {chooseShed, deadlineUnreachable, queueFull} from './shedding.js';
import {chooseStart} from './startOrder.js';
import {TierQueues} from './tierQueues.js';
import {type Line, WaitEstimate} from './waitEstimate.js';

/** What is to be done next. */
export type Directive =
  | {readonly kind: 'start'; readonly id: string}
  /** The request is to be paused; `requeue` follows when it has been. */
  | {readonly kind: 'preempt'; readonly id: string; readonly for: string}
  | {readonly kind: 'shed'; readonly id: string; readonly failure: Failure};

/** What the queue needs. */
export interface WorkQueueOptions {
  readonly clock: Clock;
  /** Requests that the endpoint can run at once. */
  readonly slots: number;
  /** Requests that may wait without having run. */
  readonly capacity: number;
  /** Whether the endpoint can pause a request and go on with it later. */
  readonly canPause?: boolean;
  /** Guaranteed part of the service time of each tier. */
  readonly guaranteedShares?: () => TierShares;
  readonly tuning?: Partial<QueueTuning>;
}

/** The queue's part of a load report; lists have one item for each tier. */
export interface QueueLoad {
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly waitMs: readonly number[];
  readonly window: number;
  /** Recent median time between tokens in milliseconds; 0 when nothing was measured. */
  readonly interTokenMs: number;
  /** Recent median time from start to first token in milliseconds; 0 when nothing was measured. */
  readonly firstTokenMs: number;
}

const GAP_SAMPLES = 256;
const FIRST_TOKEN_SAMPLES = 32;
const MEDIAN = 0.5;
/** The quantile of the time to the first token that every request is sure to need. */
const LEAST_FIRST_TOKEN = 0.1;
/** A request that was asked to pause and has not done so by then is asked again. */
const PAUSE_TIMEOUT_MS = 2000;

/** A queue for each tier before one endpoint. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #tuning: QueueTuning;
  readonly #queues = new TierQueues<MutableQueueEntry>();
  readonly #waiting = new Map<string, MutableQueueEntry>();
  readonly #running = new Map<string, MutableQueueEntry>();
  readonly #runningByTier = Array<number>(tierCount).fill(0);
  readonly #window: AdaptiveWindow;
  readonly #shares: MinimumShares;
  readonly #estimate = new WaitEstimate();
  readonly #gaps = new RecentSamples(GAP_SAMPLES);
  readonly #firstTokens = new RecentSamples(FIRST_TOKEN_SAMPLES);
  readonly #shed: Directive[] = [];
  #pausedCount = 0;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
    this.#tuning = {...defaultQueueTuning, ...options.tuning};
    const {clock, slots} = options;
    this.#window = new AdaptiveWindow({clock, slots, isAdaptive: this.#tuning.adaptsWindow});
    this.#shares = new MinimumShares(options.guaranteedShares ?? (() => []), clock.now());
  }

  /** Number of requests that wait. */
  get queuedCount(): number {
    return this.#queues.size;
  }

  /** Number of requests that run. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Takes a request in, or refuses it. */
  offer(item: QueueItem): Result<void, Failure> {
    this.#account();
    const failure = this.#findRefusal(item);
    if (failure !== undefined) return err(failure);
    this.#insert(createEntry(item));
    return ok(undefined);
  }

  /** Takes a request that waits out of the queue; false when it does not wait. */
  remove(id: string): boolean {
    const entry = this.#waiting.get(id);
    if (entry === undefined) return false;
    this.#account();
    this.#takeOut(entry);
    return true;
  }

  /** What is to be done now. */
  next(): readonly Directive[] {
    this.#account();
    this.#shedExpired();
    const directives = this.#shed.splice(0);
    for (;;) {
      const entry = this.#chooseStart();
      if (entry === undefined) break;
      this.#start(entry);
      directives.push({kind: 'start', id: entry.item.id});
    }
    if (this.#canPreempt) {
      directives.push(...this.#preemptForWaiting());
      directives.push(...this.#preemptBeyondWindow());
    }
    return directives;
  }

  /** Puts a preempted request, now paused, back among those that wait. */
  requeue(id: string): void {
    const entry = this.#running.get(id);
    if (entry === undefined) return;
    this.#account();
    this.#stop(entry);
    entry.preemptions += 1;
    entry.pausedAtMs = this.#options.clock.now();
    this.#insert(entry);
  }

  /** Notes that a running request has ended. */
  finish(id: string): void {
    const entry = this.#running.get(id);
    if (entry === undefined) return;
    this.#account();
    this.#stop(entry);
    this.#estimate.observe(entry.item.tier, entry.servedMs);
  }

  /** Takes note of a token of a running request; true when `next` may have something to do. */
  observeToken(id: string): boolean {
    const entry = this.#running.get(id);
    if (entry === undefined) return false;
    const now = this.#options.clock.now();
    entry.generatedTokens += 1;
    const {lastTokenAtMs, startedAtMs} = entry;
    entry.lastTokenAtMs = now;
    if (lastTokenAtMs === undefined) {
      if (entry.generatedTokens === 1) this.#firstTokens.add(now - (startedAtMs ?? now));
      return false;
    }
    const gapMs = now - lastTokenAtMs;
    this.#gaps.add(gapMs);
    return this.#window.observe(gapMs, entry.item.interTokenTargetMs, this.#running.size);
  }

  /** The next gap of a request says nothing about the endpoint, as its reader was slow. */
  skipGap(id: string): void {
    const entry = this.#running.get(id);
    if (entry !== undefined) entry.lastTokenAtMs = undefined;
  }

  /** The queue's part of a load report. */
  load(): QueueLoad {
    const queued = Array.from({length: tierCount}, (_, tier) => this.#queues.tier(tier).length);
    const waitMs = queued.map((_, tier) => {
      const countsLower = !this.#canPreempt || !this.#isUrgent(tier);
      return this.#estimate.waitMs(this.#line(tier, countsLower));
    });
    return {
      running: [...this.#runningByTier],
      queued,
      waitMs,
      window: this.#window.size,
      interTokenMs: this.#gaps.quantile(MEDIAN),
      firstTokenMs: this.#firstTokens.quantile(MEDIAN),
    };
  }

  get #canPreempt(): boolean {
    return this.#tuning.preempts && this.#options.canPause === true;
  }

  #isUrgent(tier: number): boolean {
    return tier < this.#tuning.urgentTierCount;
  }

  /** Accounts for the time since the last change. */
  #account(): void {
    const queued = Array.from({length: tierCount}, (_, tier) => this.#queues.tier(tier).length);
    const window = this.#window.size;
    this.#shares.advance(this.#options.clock.now(), {running: this.#runningByTier, queued, window});
  }

  #findRefusal(item: QueueItem): Failure | undefined {
    const {tier, dueAtMs} = item;
    // What stands before urgent work is preempted or shed, so it counts for nothing.
    if (this.#isUrgent(tier) && this.#servesBelow(tier)) {
      this.#makeRoom(item);
      return undefined;
    }
    const waitMs = this.#estimate.waitMs(this.#line(tier, !this.#canPreempt, dueAtMs));
    const budgetMs = dueAtMs - this.#options.clock.now() - this.#leastFirstTokenMs();
    if (this.#tuning.refusesEarly && waitMs > budgetMs) {
      return deadlineUnreachable(waitMs, budgetMs);
    }
    return this.#makeRoom(item) ? undefined : queueFull(waitMs);
  }

  /** Sheds a request of a lower tier when the queue is full; false when there is none. */
  #makeRoom({tier}: QueueItem): boolean {
    if (this.#queues.size - this.#pausedCount < this.#options.capacity) return true;
    const victim = chooseShed(this.#queues, tier, tierCount - 1);
    if (victim === undefined) return false;
    this.#takeOut(victim);
    const waitMs = this.#estimate.waitMs(this.#line(victim.item.tier, true));
    this.#shed.push({kind: 'shed', id: victim.item.id, failure: queueFull(waitMs)});
    return true;
  }

  #shedExpired(): void {
    if (!this.#tuning.refusesEarly) return;
    const now = this.#options.clock.now();
    const leastMs = this.#leastFirstTokenMs();
    for (let tier = 0; tier < tierCount; tier += 1) {
      if (this.#isUrgent(tier) && this.#servesBelow(tier)) continue;
      for (const entry of [...this.#queues.tier(tier)]) {
        const {id, dueAtMs} = entry.item;
        if (now + leastMs <= dueAtMs) break;
        if (entry.pausedAtMs !== undefined) continue;
        this.#takeOut(entry);
        const waitMs = this.#estimate.waitMs(this.#line(tier, true));
        const failure = deadlineUnreachable(waitMs, dueAtMs - now);
        this.#shed.push({kind: 'shed', id, failure});
      }
    }
  }

  /** Whether anything of a lower tier runs. */
  #servesBelow(tier: number): boolean {
    return this.#runningByTier.some((count, other) => other > tier && count > 0);
  }

  #chooseStart(): MutableQueueEntry | undefined {
    if (this.#running.size >= this.#window.size) return this.#chooseBeyondWindow();
    const {urgentTierCount, maxPauseMs} = this.#tuning;
    return chooseStart({
      queues: this.#queues,
      nowMs: this.#options.clock.now(),
      urgentTierCount,
      maxPauseMs,
      holdsLongWorkBack: this.#longRunningCount() >= this.#longLimit() && this.#hasShortWaiting(),
      canWait: (entry) => !this.#isAtRisk(entry),
      isOwed: (tier) => this.#isOwedSlot(tier),
    });
  }

  /** Urgent work that no pause of other work can bring in time. */
  #chooseBeyondWindow(): MutableQueueEntry | undefined {
    if (this.#running.size >= this.#window.urgentSize) return undefined;
    for (let tier = 0; tier < this.#tuning.urgentTierCount; tier += 1) {
      const [first] = this.#queues.tier(tier);
      if (first !== undefined && this.#isAtRisk(first)) return first;
    }
    return undefined;
  }

  /** Whether a tier has had less than its share and does not hold the slots for it yet. */
  #isOwedSlot(tier: number): boolean {
    const slots = this.#shares.guaranteedSlots(tier, this.#window.size);
    return this.#shares.isOwed(tier) && (this.#runningByTier[tier] ?? 0) < slots;
  }

  *#preemptForWaiting(): Generator<Directive> {
    let free = this.#window.size - this.#running.size + this.#stoppingCount();
    for (let tier = 0; tier < tierCount; tier += 1) {
      for (const entry of this.#queues.tier(tier)) {
        const isUrgent = this.#isUrgent(tier);
        if (!isUrgent && entry.pausedAtMs !== undefined) continue;
        const isAtRisk = this.#isAtRisk(entry);
        const isCrowdedOut = !isLong(entry) && this.#longRunningCount() > this.#longLimit();
        if (!isUrgent && !isAtRisk && !isCrowdedOut) break;
        free -= 1;
        if (free >= 0) continue;
        const victim = this.#chooseVictim(entry, isAtRisk);
        if (victim === undefined) break;
        yield this.#preempt(victim, entry);
      }
    }
  }

  /** Brings the batch back to its window when a request with a target runs beside lower tiers. */
  *#preemptBeyondWindow(): Generator<Directive> {
    let excess = this.#running.size - this.#stoppingCount() - this.#window.size;
    while (excess > 0) {
      const beneficiary = this.#mostSensitive();
      if (beneficiary === undefined) return;
      const victim = this.#chooseVictim(beneficiary, false);
      if (victim === undefined || victim.item.tier === beneficiary.item.tier) return;
      yield this.#preempt(victim, beneficiary);
      excess -= 1;
    }
  }

  /** The running request of the highest tier among those with a target between tokens. */
  #mostSensitive(): MutableQueueEntry | undefined {
    let found: MutableQueueEntry | undefined;
    for (const entry of this.#running.values()) {
      if (entry.item.interTokenTargetMs === undefined) continue;
      if (found === undefined || entry.item.tier < found.item.tier) found = entry;
    }
    return found;
  }

  #chooseVictim(beneficiary: MutableQueueEntry, isAtRisk: boolean): MutableQueueEntry | undefined {
    const window = this.#window.size;
    return chooseVictim({
      running: this.#running.values(),
      beneficiary,
      isUrgent: this.#isUrgent(beneficiary.item.tier),
      isAtRisk,
      isLongWorkOverShare: this.#longRunningCount() > this.#longLimit(),
      maxPreemptions: this.#tuning.maxPreemptions,
      nowMs: this.#options.clock.now(),
      minRunMs: this.#tuning.minRunMs,
      isGuaranteed: (tier) => {
        const running = this.#runningByTier[tier] ?? 0;
        return running <= this.#shares.guaranteedSlots(tier, window);
      },
    });
  }

  #preempt(victim: MutableQueueEntry, beneficiary: MutableQueueEntry): Directive {
    victim.stoppingAtMs = this.#options.clock.now();
    return {kind: 'preempt', id: victim.item.id, for: beneficiary.item.id};
  }

  /** Whether a request misses its deadline unless it runs now. */
  #isAtRisk({item, pausedAtMs}: MutableQueueEntry): boolean {
    if (pausedAtMs !== undefined) return this.#isUrgent(item.tier);
    const before = this.#queues.tier(item.tier).length;
    const waitMs = (before * this.#meanServiceMs()) / this.#window.size;
    const now = this.#options.clock.now();
    // A deadline that has passed is not met by anything any more.
    if (!this.#isUrgent(item.tier) && now > item.dueAtMs) return false;
    return now + this.#leastFirstTokenMs() + waitMs >= item.dueAtMs;
  }

  #leastFirstTokenMs(): number {
    return this.#firstTokens.quantile(LEAST_FIRST_TOKEN);
  }

  /** What stands before a new request of a tier. */
  #line(tier: number, countsLower: boolean, dueAtMs = Number.POSITIVE_INFINITY): Line {
    const window = this.#isUrgent(tier) ? this.#window.urgentSize : this.#window.size;
    let running = 0;
    for (const [other, count] of this.#runningByTier.entries()) {
      if (other <= tier || countsLower) running += count;
      else if (!this.#isUrgent(tier)) {
        running += Math.min(count, this.#shares.guaranteedSlots(other, window));
      }
    }
    let queued = 0;
    for (let other = 0; other < tier; other += 1) queued += this.#queues.tier(other).length;
    const equals = this.#queues.tier(tier);
    const later = equals.findIndex(({item}) => item.dueAtMs > dueAtMs);
    queued += later === -1 ? equals.length : later;
    return {running, queued, slots: window, serviceMs: this.#meanServiceMs(tier)};
  }

  /** Mean service time of what runs, in milliseconds. */
  #meanServiceMs(tier?: number): number {
    let sum = 0;
    let count = 0;
    for (const [other, runningCount] of this.#runningByTier.entries()) {
      if (runningCount === 0) continue;
      sum += runningCount * this.#estimate.serviceMs(other);
      count += runningCount;
    }
    return count === 0 ? this.#estimate.serviceMs(tier ?? 0) : sum / count;
  }

  #longLimit(): number {
    return longWorkLimit(this.#tuning.longWorkShare, this.#window.size);
  }

  #longRunningCount(): number {
    let count = 0;
    for (const entry of this.#running.values()) {
      if (entry.stoppingAtMs === undefined && isLong(entry)) count += 1;
    }
    return count;
  }

  #hasShortWaiting(): boolean {
    for (const entry of this.#queues.entries()) if (!isLong(entry)) return true;
    return false;
  }

  /** Number of running requests that were asked to pause. */
  #stoppingCount(): number {
    const now = this.#options.clock.now();
    let count = 0;
    for (const entry of this.#running.values()) {
      if (entry.stoppingAtMs === undefined) continue;
      if (now - entry.stoppingAtMs < PAUSE_TIMEOUT_MS) count += 1;
      else entry.stoppingAtMs = undefined;
    }
    return count;
  }

  #insert(entry: MutableQueueEntry): void {
    this.#queues.insert(entry);
    this.#waiting.set(entry.item.id, entry);
    if (entry.pausedAtMs !== undefined) this.#pausedCount += 1;
  }

  #takeOut(entry: MutableQueueEntry): void {
    this.#queues.remove(entry);
    this.#waiting.delete(entry.item.id);
    if (entry.pausedAtMs !== undefined) this.#pausedCount -= 1;
  }

  #start(entry: MutableQueueEntry): void {
    this.#takeOut(entry);
    entry.startedAtMs = this.#options.clock.now();
    entry.pausedAtMs = undefined;
    this.#running.set(entry.item.id, entry);
    this.#runningByTier[entry.item.tier] = (this.#runningByTier[entry.item.tier] ?? 0) + 1;
  }

  #stop(entry: MutableQueueEntry): void {
    const now = this.#options.clock.now();
    entry.servedMs += now - (entry.startedAtMs ?? now);
    entry.startedAtMs = undefined;
    entry.stoppingAtMs = undefined;
    entry.lastTokenAtMs = undefined;
    this.#running.delete(entry.item.id);
    this.#runningByTier[entry.item.tier] = (this.#runningByTier[entry.item.tier] ?? 0) - 1;
  }
}
