/** Admission, dispatch, preemption and shedding of the requests of one endpoint. */
import type {Clock} from '@marigoldfold/runtime';
import {type Failure, tierCount} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {AdaptiveWindow} from './adaptiveWindow.js';
import {isLong, computeLongWorkLimit} from './longWork.js';
import {MinimumShares, type TierShares} from './minimumShares.js';
import {chooseVictim} from './preemption.js';
import {RunningSet} from './runningSet.js';
import {
  createScheduledRequest,
  type MutableScheduledRequest,
  type QueueItem,
} from './scheduledRequest.js';
import {defaultQueueTuning, type QueueTuning} from './queueTuning.js';
import {chooseShedVictim, createDeadlineFailure, createQueueFullFailure} from './shedding.js';
import {chooseStart} from './startOrder.js';
import {TierQueues} from './tierQueues.js';
import {TokenMeter} from './tokenMeter.js';
import {type Backlog, WaitEstimate} from './waitEstimate.js';

/** An action that the caller of `next` must carry out on a request. */
export type SchedulingDirective =
  | {readonly kind: 'start'; readonly id: string}
  /** Pause request `id` in favour of request `for`, then call `requeue`. */
  | {readonly kind: 'preempt'; readonly id: string; readonly for: string}
  | {readonly kind: 'shed'; readonly id: string; readonly failure: Failure};

/** Capacity, slots and dependencies of a {@link WorkQueue}. */
export interface WorkQueueOptions {
  readonly clock: Clock;
  /** Maximum number of concurrent requests of the endpoint. */
  readonly slots: number;
  /** Maximum number of waiting requests that have never run. */
  readonly capacity: number;
  /** Whether the endpoint can pause a request and resume it later. */
  readonly canPause?: boolean;
  /** Guaranteed fraction of the service time by tier. */
  readonly guaranteedShares?: () => TierShares;
  readonly tuning?: Partial<QueueTuning>;
}

/** Values that the queue adds to a load report; lists have one item per tier. */
export interface QueueLoad {
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly waitMs: readonly number[];
  readonly window: number;
  /** Recent median inter-token latency in milliseconds; 0 without samples. */
  readonly interTokenMs: number;
  /** Recent median time from start to first token in milliseconds; 0 without samples. */
  readonly firstTokenMs: number;
}

/** Priority queue of one endpoint. Returns scheduling decisions; the caller starts, pauses and refuses requests. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #tuning: QueueTuning;
  readonly #queues = new TierQueues<MutableScheduledRequest>();
  readonly #waiting = new Map<string, MutableScheduledRequest>();
  readonly #running = new RunningSet();
  readonly #window: AdaptiveWindow;
  readonly #shares: MinimumShares;
  readonly #estimate = new WaitEstimate();
  readonly #meter = new TokenMeter();
  readonly #shedDirectives: SchedulingDirective[] = [];
  #pausedCount = 0;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
    this.#tuning = {...defaultQueueTuning, ...options.tuning};
    const {clock, slots} = options;
    this.#window = new AdaptiveWindow({clock, slots, isAdaptive: this.#tuning.adaptsWindow});
    this.#shares = new MinimumShares(options.guaranteedShares ?? (() => []), clock.now());
  }

  /** Number of waiting requests, paused ones included. */
  get queuedCount(): number {
    return this.#queues.size;
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Admits a request, or returns why it is refused. May shed a lower-tier request, reported by `next`. */
  offer(item: QueueItem): Result<void, Failure> {
    this.#updateShares();
    const failure = this.#findRefusal(item);
    if (failure !== undefined) return err(failure);
    this.#insert(createScheduledRequest(item));
    return ok(undefined);
  }

  /** Removes a waiting request; returns false when it is not waiting. */
  remove(id: string): boolean {
    const request = this.#waiting.get(id);
    if (request === undefined) return false;
    this.#updateShares();
    this.#removeWaiting(request);
    return true;
  }

  /** Decides the actions that are due now: requests to shed, start and preempt. */
  next(): readonly SchedulingDirective[] {
    this.#updateShares();
    this.#shedExpired();
    const directives = this.#shedDirectives.splice(0);
    for (;;) {
      const request = this.#chooseStart();
      if (request === undefined) break;
      this.#start(request);
      directives.push({kind: 'start', id: request.item.id});
    }
    if (this.#canPreempt) {
      directives.push(...this.#preemptForWaiting());
      directives.push(...this.#preemptBeyondWindow());
    }
    return directives;
  }

  /** Returns a preempted request, now paused, to the waiting requests. */
  requeue(id: string): void {
    const request = this.#running.get(id);
    if (request === undefined) return;
    this.#updateShares();
    this.#stop(request);
    request.preemptions += 1;
    request.pausedAtMs = this.#options.clock.now();
    this.#insert(request);
  }

  /** Removes a running request that has ended and records its service time. */
  finish(id: string): void {
    const request = this.#running.get(id);
    if (request === undefined) return;
    this.#updateShares();
    this.#stop(request);
    this.#estimate.observe(request.item.tier, request.servedMs);
  }

  /** Records a token of a running request; returns true when the window changed and `next` should be called. */
  observeToken(id: string): boolean {
    const request = this.#running.get(id);
    if (request === undefined) return false;
    const gapMs = this.#meter.observe(request, this.#options.clock.now());
    if (gapMs === undefined) return false;
    return this.#window.observe(gapMs, request.item.interTokenTargetMs, this.#running.size);
  }

  /** Excludes the next token gap of a request from the measurements, because its reader was slow. */
  ignoreNextGap(id: string): void {
    const request = this.#running.get(id);
    if (request !== undefined) request.lastTokenAtMs = undefined;
  }

  /** Current counts, estimated waits and latencies. */
  load(): QueueLoad {
    const queued = Array.from({length: tierCount}, (_, tier) => this.#queues.inTier(tier).length);
    const waitMs = queued.map((_, tier) => {
      const countsLower = !this.#canPreempt || !this.#isUrgent(tier);
      return this.#estimate.waitMs(this.#backlog(tier, countsLower));
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

  /** Whether urgent work of a tier can preempt a running request. */
  #canPreemptFor(tier: number): boolean {
    return this.#canPreempt && this.#isUrgent(tier) && this.#running.hasLowerTier(tier);
  }

  #isUrgent(tier: number): boolean {
    return tier < this.#tuning.urgentTierCount;
  }

  /** Updates the deficits of the guaranteed shares up to now. */
  #updateShares(): void {
    const queued = Array.from({length: tierCount}, (_, tier) => this.#queues.inTier(tier).length);
    const window = this.#window.size;
    this.#shares.advance(this.#options.clock.now(), {
      running: this.#running.byTier,
      queued,
      window,
    });
  }

  #findRefusal(item: QueueItem): Failure | undefined {
    const {tier, dueAtMs} = item;
    // Requests of lower tiers are preempted or shed for urgent requests, so they cause no wait.
    if (this.#canPreemptFor(tier)) {
      this.#makeRoom(item);
      return undefined;
    }
    const waitMs = this.#estimate.waitMs(this.#backlog(tier, !this.#canPreempt, dueAtMs));
    const budgetMs = dueAtMs - this.#options.clock.now() - this.#meter.p10FirstTokenMs;
    if (this.#tuning.refusesEarly && waitMs > budgetMs) {
      return createDeadlineFailure(waitMs, budgetMs);
    }
    return this.#makeRoom(item) ? undefined : createQueueFullFailure(waitMs);
  }

  /** Sheds a request of a lower tier when the queue is full; returns false when there is none. */
  #makeRoom({tier}: QueueItem): boolean {
    if (this.#queues.size - this.#pausedCount < this.#options.capacity) return true;
    const victim = chooseShedVictim(this.#queues, tier, tierCount - 1);
    if (victim === undefined) return false;
    this.#removeWaiting(victim);
    const waitMs = this.#estimate.waitMs(this.#backlog(victim.item.tier, true));
    this.#shedDirectives.push({
      kind: 'shed',
      id: victim.item.id,
      failure: createQueueFullFailure(waitMs),
    });
    return true;
  }

  #shedExpired(): void {
    if (!this.#tuning.refusesEarly) return;
    const now = this.#options.clock.now();
    const p10FirstTokenMs = this.#meter.p10FirstTokenMs;
    for (let tier = 0; tier < tierCount; tier += 1) {
      if (this.#canPreemptFor(tier)) continue;
      for (const request of [...this.#queues.inTier(tier)]) {
        const {id, dueAtMs} = request.item;
        if (now + p10FirstTokenMs <= dueAtMs) break;
        if (request.pausedAtMs !== undefined) continue;
        this.#removeWaiting(request);
        const waitMs = this.#estimate.waitMs(this.#backlog(tier, true));
        const failure = createDeadlineFailure(waitMs, dueAtMs - now);
        this.#shedDirectives.push({kind: 'shed', id, failure});
      }
    }
  }

  #chooseStart(): MutableScheduledRequest | undefined {
    if (this.#running.size >= this.#window.size) return this.#chooseBeyondWindow();
    const {urgentTierCount, maxPauseMs} = this.#tuning;
    return chooseStart({
      queues: this.#queues,
      nowMs: this.#options.clock.now(),
      urgentTierCount,
      maxPauseMs,
      defersLongWork: this.#running.longWorkCount() >= this.#longLimit() && this.#hasShortWaiting(),
      canWait: (request) => !this.#isAtRisk(request),
      isBelowShare: (tier) => this.#isBelowShare(tier),
    });
  }

  /** Selects an urgent request that would miss its deadline unless it starts although the window is full. */
  #chooseBeyondWindow(): MutableScheduledRequest | undefined {
    if (this.#running.size >= this.#window.urgentSize) return undefined;
    for (let tier = 0; tier < this.#tuning.urgentTierCount; tier += 1) {
      const [first] = this.#queues.inTier(tier);
      if (first !== undefined && this.#isAtRisk(first)) return first;
    }
    return undefined;
  }

  /** Whether a tier has received less than its share and runs in fewer slots than guaranteed. */
  #isBelowShare(tier: number): boolean {
    const slots = this.#shares.guaranteedSlots(tier, this.#window.size);
    return this.#shares.isBelowShare(tier) && (this.#running.byTier[tier] ?? 0) < slots;
  }

  *#preemptForWaiting(): Generator<SchedulingDirective> {
    let freeSlots =
      this.#window.size -
      this.#running.size +
      this.#running.pauseRequestedCount(this.#options.clock.now());
    for (let tier = 0; tier < tierCount; tier += 1) {
      for (const request of this.#queues.inTier(tier)) {
        const isUrgent = this.#isUrgent(tier);
        if (!isUrgent && request.pausedAtMs !== undefined) continue;
        const isAtRisk = this.#isAtRisk(request);
        const isBlockedByLongWork =
          !isLong(request) && this.#running.longWorkCount() > this.#longLimit();
        if (!isUrgent && !isAtRisk && !isBlockedByLongWork) break;
        freeSlots -= 1;
        if (freeSlots >= 0) continue;
        const victim = this.#chooseVictim(request, isAtRisk);
        if (victim === undefined) break;
        yield this.#preempt(victim, request);
      }
    }
  }

  /** Preempts lower-tier requests down to the window while a request with an inter-token target runs. */
  *#preemptBeyondWindow(): Generator<SchedulingDirective> {
    let excess =
      this.#running.size -
      this.#running.pauseRequestedCount(this.#options.clock.now()) -
      this.#window.size;
    while (excess > 0) {
      const beneficiary = this.#running.highestTierWithTokenTarget();
      if (beneficiary === undefined) return;
      const victim = this.#chooseVictim(beneficiary, false);
      if (victim === undefined || victim.item.tier === beneficiary.item.tier) return;
      yield this.#preempt(victim, beneficiary);
      excess -= 1;
    }
  }

  #chooseVictim(
    beneficiary: MutableScheduledRequest,
    isAtRisk: boolean,
  ): MutableScheduledRequest | undefined {
    const window = this.#window.size;
    return chooseVictim({
      running: this.#running.values(),
      beneficiary,
      isUrgent: this.#isUrgent(beneficiary.item.tier),
      isAtRisk,
      isLongWorkOverShare: this.#running.longWorkCount() > this.#longLimit(),
      maxPreemptions: this.#tuning.maxPreemptions,
      nowMs: this.#options.clock.now(),
      minRunMs: this.#tuning.minRunMs,
      isWithinGuarantee: (tier) => {
        const running = this.#running.byTier[tier] ?? 0;
        return running <= this.#shares.guaranteedSlots(tier, window);
      },
    });
  }

  #preempt(
    victim: MutableScheduledRequest,
    beneficiary: MutableScheduledRequest,
  ): SchedulingDirective {
    victim.pauseRequestedAtMs = this.#options.clock.now();
    return {kind: 'preempt', id: victim.item.id, for: beneficiary.item.id};
  }

  /** Whether a request misses its deadline unless it starts now. */
  #isAtRisk({item, pausedAtMs}: MutableScheduledRequest): boolean {
    if (pausedAtMs !== undefined) return this.#isUrgent(item.tier);
    const queuedInTier = this.#queues.inTier(item.tier).length;
    const waitMs = (queuedInTier * this.#meanServiceMs(item.tier)) / this.#window.size;
    const now = this.#options.clock.now();
    // Preemption cannot help a non-urgent request that has already missed its deadline.
    if (!this.#isUrgent(item.tier) && now > item.dueAtMs) return false;
    return now + this.#meter.p10FirstTokenMs + waitMs >= item.dueAtMs;
  }

  /** The running and queued requests ahead of a new request of a tier. */
  #backlog(tier: number, countsLower: boolean, dueAtMs = Number.POSITIVE_INFINITY): Backlog {
    const window = this.#isUrgent(tier) ? this.#window.urgentSize : this.#window.size;
    // Guaranteed slots of other tiers do not delay urgent work.
    const reservedSlots = (other: number) =>
      this.#isUrgent(tier) ? 0 : this.#shares.guaranteedSlots(other, window);
    return {
      running: this.#running.countBefore(tier, countsLower, reservedSlots),
      queued: this.#queues.countBefore(tier, dueAtMs),
      slots: window,
      serviceMs: this.#meanServiceMs(tier),
    };
  }

  /** Mean service time of the running requests in milliseconds. */
  #meanServiceMs(tier: number): number {
    return this.#estimate.meanServiceMs(this.#running.byTier, tier);
  }

  #longLimit(): number {
    return computeLongWorkLimit(this.#tuning.longWorkShare, this.#window.size);
  }

  #hasShortWaiting(): boolean {
    for (const request of this.#queues.values()) if (!isLong(request)) return true;
    return false;
  }

  #insert(request: MutableScheduledRequest): void {
    this.#queues.insert(request);
    this.#waiting.set(request.item.id, request);
    if (request.pausedAtMs !== undefined) this.#pausedCount += 1;
  }

  #removeWaiting(request: MutableScheduledRequest): void {
    this.#queues.remove(request);
    this.#waiting.delete(request.item.id);
    if (request.pausedAtMs !== undefined) this.#pausedCount -= 1;
  }

  #start(request: MutableScheduledRequest): void {
    this.#removeWaiting(request);
    this.#running.add(request, this.#options.clock.now());
  }

  #stop(request: MutableScheduledRequest): void {
    this.#running.remove(request, this.#options.clock.now());
  }
}
