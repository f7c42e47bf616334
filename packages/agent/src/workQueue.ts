/** Decides which request the endpoint runs next, which it pauses and which it refuses. */
import type {Clock} from '@marigoldfold/runtime';
import {type Failure, tierCount} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {AdaptiveWindow} from './adaptiveWindow.js';
import {isLong, longWorkLimit} from './longWork.js';
import {MinimumShares, type TierShares} from './minimumShares.js';
import {chooseVictim} from './preemption.js';
import {RunningSet} from './runningSet.js';
import {createEntry, type MutableQueueEntry, type QueueItem} from './queueEntry.js';
import {defaultQueueTuning, type QueueTuning} from './queueTuning.js';
import {chooseShed, deadlineUnreachable, queueFull} from './shedding.js';
import {chooseStart} from './startOrder.js';
import {TierQueues} from './tierQueues.js';
import {TokenMeter} from './tokenMeter.js';
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

/** A queue for each tier before one endpoint. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #tuning: QueueTuning;
  readonly #queues = new TierQueues<MutableQueueEntry>();
  readonly #waiting = new Map<string, MutableQueueEntry>();
  readonly #running = new RunningSet();
  readonly #window: AdaptiveWindow;
  readonly #shares: MinimumShares;
  readonly #estimate = new WaitEstimate();
  readonly #meter = new TokenMeter();
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
    const gapMs = this.#meter.observe(entry, this.#options.clock.now());
    if (gapMs === undefined) return false;
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
      running: [...this.#running.byTier],
      queued,
      waitMs,
      window: this.#window.size,
      interTokenMs: this.#meter.interTokenMs,
      firstTokenMs: this.#meter.firstTokenMs,
    };
  }

  get #canPreempt(): boolean {
    return this.#tuning.preempts && this.#options.canPause === true;
  }

  /** Whether urgent work of a tier can take the place of something that runs. */
  #canDisplace(tier: number): boolean {
    return this.#canPreempt && this.#isUrgent(tier) && this.#running.servesBelow(tier);
  }

  #isUrgent(tier: number): boolean {
    return tier < this.#tuning.urgentTierCount;
  }

  /** Accounts for the time since the last change. */
  #account(): void {
    const queued = Array.from({length: tierCount}, (_, tier) => this.#queues.tier(tier).length);
    const window = this.#window.size;
    this.#shares.advance(this.#options.clock.now(), {
      running: this.#running.byTier,
      queued,
      window,
    });
  }

  #findRefusal(item: QueueItem): Failure | undefined {
    const {tier, dueAtMs} = item;
    // What stands before urgent work is preempted or shed, so it counts for nothing.
    if (this.#canDisplace(tier)) {
      this.#makeRoom(item);
      return undefined;
    }
    const waitMs = this.#estimate.waitMs(this.#line(tier, !this.#canPreempt, dueAtMs));
    const budgetMs = dueAtMs - this.#options.clock.now() - this.#meter.leastFirstTokenMs;
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
    const leastMs = this.#meter.leastFirstTokenMs;
    for (let tier = 0; tier < tierCount; tier += 1) {
      if (this.#canDisplace(tier)) continue;
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

  #chooseStart(): MutableQueueEntry | undefined {
    if (this.#running.size >= this.#window.size) return this.#chooseBeyondWindow();
    const {urgentTierCount, maxPauseMs} = this.#tuning;
    return chooseStart({
      queues: this.#queues,
      nowMs: this.#options.clock.now(),
      urgentTierCount,
      maxPauseMs,
      holdsLongWorkBack: this.#running.longCount() >= this.#longLimit() && this.#hasShortWaiting(),
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
    return this.#shares.isOwed(tier) && (this.#running.byTier[tier] ?? 0) < slots;
  }

  *#preemptForWaiting(): Generator<Directive> {
    let free =
      this.#window.size -
      this.#running.size +
      this.#running.stoppingCount(this.#options.clock.now());
    for (let tier = 0; tier < tierCount; tier += 1) {
      for (const entry of this.#queues.tier(tier)) {
        const isUrgent = this.#isUrgent(tier);
        if (!isUrgent && entry.pausedAtMs !== undefined) continue;
        const isAtRisk = this.#isAtRisk(entry);
        const isCrowdedOut = !isLong(entry) && this.#running.longCount() > this.#longLimit();
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
    let excess =
      this.#running.size -
      this.#running.stoppingCount(this.#options.clock.now()) -
      this.#window.size;
    while (excess > 0) {
      const beneficiary = this.#running.mostSensitive();
      if (beneficiary === undefined) return;
      const victim = this.#chooseVictim(beneficiary, false);
      if (victim === undefined || victim.item.tier === beneficiary.item.tier) return;
      yield this.#preempt(victim, beneficiary);
      excess -= 1;
    }
  }

  #chooseVictim(beneficiary: MutableQueueEntry, isAtRisk: boolean): MutableQueueEntry | undefined {
    const window = this.#window.size;
    return chooseVictim({
      running: this.#running.values(),
      beneficiary,
      isUrgent: this.#isUrgent(beneficiary.item.tier),
      isAtRisk,
      isLongWorkOverShare: this.#running.longCount() > this.#longLimit(),
      maxPreemptions: this.#tuning.maxPreemptions,
      nowMs: this.#options.clock.now(),
      minRunMs: this.#tuning.minRunMs,
      isGuaranteed: (tier) => {
        const running = this.#running.byTier[tier] ?? 0;
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
    const waitMs = (before * this.#meanServiceMs(item.tier)) / this.#window.size;
    const now = this.#options.clock.now();
    // A deadline that has passed is not met by anything any more.
    if (!this.#isUrgent(item.tier) && now > item.dueAtMs) return false;
    return now + this.#meter.leastFirstTokenMs + waitMs >= item.dueAtMs;
  }

  /** What stands before a new request of a tier. */
  #line(tier: number, countsLower: boolean, dueAtMs = Number.POSITIVE_INFINITY): Line {
    const window = this.#isUrgent(tier) ? this.#window.urgentSize : this.#window.size;
    // Urgent work is not held up by the guaranteed slots of others.
    const keptSlots = (other: number) =>
      this.#isUrgent(tier) ? 0 : this.#shares.guaranteedSlots(other, window);
    return {
      running: this.#running.countBefore(tier, countsLower, keptSlots),
      queued: this.#queues.countBefore(tier, dueAtMs),
      slots: window,
      serviceMs: this.#meanServiceMs(tier),
    };
  }

  /** Mean service time of what runs, in milliseconds. */
  #meanServiceMs(tier: number): number {
    return this.#estimate.meanServiceMs(this.#running.byTier, tier);
  }

  #longLimit(): number {
    return longWorkLimit(this.#tuning.longWorkShare, this.#window.size);
  }

  #hasShortWaiting(): boolean {
    for (const entry of this.#queues.entries()) if (!isLong(entry)) return true;
    return false;
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
    this.#running.add(entry, this.#options.clock.now());
  }

  #stop(entry: MutableQueueEntry): void {
    this.#running.remove(entry, this.#options.clock.now());
  }
}
