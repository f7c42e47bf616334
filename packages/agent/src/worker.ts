/** Runs requests on one endpoint: admission, queueing, dispatch, preemption, withdrawal and drain. */
import {DisposableStore, repeat, sleep} from '@marigoldfold/runtime';
import {
  type Call,
  type Failure,
  createFailure,
  type Generation,
  type Load,
  refusal,
  type WithdrawalOutcome,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {Answer} from './answer.js';
import {EndedRequests} from './endedRequests.js';
import {runGeneration, stopMessages, type StopReason} from './generationRun.js';
import {PauseDetector} from './pauseDetector.js';
import type {WorkerOptions} from './workerOptions.js';
import type {SchedulingDirective} from './workQueue.js';

interface Job {
  readonly work: WorkRequest;
  readonly answer: Answer;
  readonly controller: AbortController;
  hasStarted: boolean;
  /** Pauses the running stream; undefined unless one runs. */
  pause: (() => void) | undefined;
  /** Resolves the wait for the queue: undefined starts the request, a failure ends it. */
  resolveTurn: ((failure: Failure | undefined) => void) | undefined;
}

const SWEEP_INTERVAL_MS = 1000;
const PAUSE_THRESHOLD_MS = 5 * SWEEP_INTERVAL_MS;
const DRAIN_CHECK_INTERVAL_MS = 20;

/** Runs all requests of one endpoint; nothing else sends requests to it. */
export class Worker implements Disposable {
  readonly #options: WorkerOptions;
  readonly #jobs = new Map<string, Job>();
  readonly #finishedAtMs = new Map<string, number>();
  readonly #endedRequests: EndedRequests;
  readonly #disposables = new DisposableStore();
  readonly #pauseDetector: PauseDetector;
  #isLeaving = false;
  #refusesWork = false;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.#pauseDetector = new PauseDetector(options.clock.now(), PAUSE_THRESHOLD_MS);
    this.#endedRequests = new EndedRequests(options.timing.endedIdRetentionMs);
    this.#disposables.add(
      repeat(
        options.clock,
        () => SWEEP_INTERVAL_MS,
        () => {
          this.#sweep();
        },
      ),
    );
  }

  /** Id of the agent process, new at each start; requests addressed to another id are refused. */
  get incarnation(): string {
    return this.#options.incarnation;
  }

  /** Number of requests that are queued or running. */
  get activeCount(): number {
    return this.#jobs.size - this.#finishedAtMs.size;
  }

  /** Admits a request, or refuses it with the reason. */
  submit(work: WorkRequest): Result<Answer, Failure> {
    // An entry that lost the first response may send the request again; it gets the same answer.
    const existing = this.#jobs.get(work.id);
    if (existing !== undefined) return ok(existing.answer);
    const failure = this.#findRefusal(work);
    if (failure !== undefined) return err(failure);
    const {clock, queue} = this.#options;
    const enqueued = queue.offer({
      id: work.id,
      tier: work.tier,
      dueAtMs: clock.now() + work.firstTokenBudgetMs,
      interTokenTargetMs: work.interTokenTargetMs,
      typicalOutputTokens: work.typicalOutputTokens,
    });
    if (enqueued.isErr()) {
      this.#logRefusal(work, enqueued.error);
      return err(enqueued.error);
    }
    const job: Job = {
      work,
      answer: new Answer(work.id, clock),
      controller: new AbortController(),
      hasStarted: false,
      pause: undefined,
      resolveTurn: undefined,
    };
    this.#jobs.set(work.id, job);
    void this.#run(job);
    this.#dispatch();
    if (!job.hasStarted) job.answer.publish({kind: 'queued', load: this.load()});
    return ok(job.answer);
  }

  /** The answer to an admitted request; undefined after its retention. */
  answer(id: string): Answer | undefined {
    return this.#jobs.get(id)?.answer;
  }

  /** Acknowledges the chunks of an answer up to and including `chunk`. */
  acknowledge(id: string, chunk: number): void {
    this.#jobs.get(id)?.answer.acknowledge(chunk);
  }

  /** Removes a request that has not started; a later request with the same id is refused. */
  withdraw(id: string): WithdrawalOutcome {
    const job = this.#jobs.get(id);
    const ran = this.#endedRequests.find(id);
    if (ran !== undefined) return ran === 'no' ? 'never-started' : 'finished';
    if (job?.hasStarted === true) return 'started';
    this.#endedRequests.record(id, 'no', this.#options.clock.now());
    if (job !== undefined) {
      this.#options.queue.remove(id);
      job.resolveTurn?.(
        createFailure('withdrawn', 'withdrawn', 'the request was withdrawn before it started'),
      );
    }
    return 'never-started';
  }

  /**
   * Stops a request whose caller disconnected; a later request with the same id is refused. Returns whether the request
   * was unfinished here.
   */
  cancel(id: string): boolean {
    const job = this.#jobs.get(id);
    if (job === undefined) {
      if (this.#endedRequests.find(id) === undefined) {
        this.#endedRequests.record(id, 'no', this.#options.clock.now());
      }
      return false;
    }
    this.#stop(id, 'caller_gone');
    return !job.answer.isFinished;
  }

  #stop(id: string, code: StopReason): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.answer.isFinished) return;
    const isQueued = this.#options.queue.remove(id);
    job.controller.abort(code);
    if (isQueued) job.resolveTurn?.(refusal(code, stopMessages[code]));
  }

  /** The load report of the endpoint. */
  load(): Load {
    const {queue, incarnation, configurationNumber} = this.#options;
    const {running, queued, waitMs, ...measured} = queue.load();
    return {
      incarnation,
      configuration: configurationNumber(),
      running: [...running],
      queued: [...queued],
      waitMs: [...waitMs],
      ...measured,
      isLeaving: this.#isLeaving,
    };
  }

  /** Whether a drain has begun. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /**
   * Announces that the endpoint is leaving, refuses queued requests after the grace period, and resolves when running
   * requests have ended and their answers were delivered or expired without a reader.
   */
  async drain(): Promise<void> {
    const {clock, logger, timing, queue} = this.#options;
    this.#isLeaving = true;
    logger.info('leaving', {active: this.activeCount});
    await sleep(clock, timing.drainGraceMs);
    this.#refusesWork = true;
    for (const [id, job] of this.#jobs) {
      if (job.hasStarted || !queue.remove(id)) continue;
      job.resolveTurn?.(refusal('leaving', 'the endpoint is leaving'));
    }
    while (this.#hasPendingAnswers()) await sleep(clock, DRAIN_CHECK_INTERVAL_MS);
    await this.#options.calls?.drain();
  }

  /** Whether any answer is unfinished, or is finished and may still be fetched. */
  #hasPendingAnswers(): boolean {
    const {clock, timing} = this.#options;
    for (const {answer, controller} of this.#jobs.values()) {
      if (!answer.isFinished) return true;
      // The answer of a cancelled request is never fetched.
      if (controller.signal.aborted) continue;
      const {isDelivered, detachedAtMs} = answer;
      if (isDelivered) continue;
      if (detachedAtMs === undefined) return true;
      if (clock.now() - detachedAtMs <= timing.detachedLimitMs) return true;
    }
    return false;
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
    this.#options.calls?.[Symbol.dispose]();
    for (const job of this.#jobs.values()) job.controller.abort();
  }

  #findRefusal(work: WorkRequest): Failure | undefined {
    const {incarnation} = this.#options;
    if (work.agent !== undefined && work.agent !== incarnation) {
      return refusal('stale_incarnation', `the request is addressed to incarnation ${work.agent}`);
    }
    const ran = this.#endedRequests.find(work.id);
    if (ran === 'no')
      return refusal('withdrawn', `request ${work.id} already ended without running`);
    if (ran !== undefined) {
      return {code: 'answer_incomplete', message: 'the answer is no longer retained', ran};
    }
    if (this.#refusesWork) return refusal('leaving', 'the endpoint is leaving');
    const {engine, calls} = this.#options;
    const runner = work.task.kind === 'generation' ? engine : calls;
    if (runner === undefined) {
      return refusal(
        'no_endpoint',
        `the endpoint does not support tasks of kind ${work.task.kind}`,
      );
    }
    return undefined;
  }

  async #run(job: Job): Promise<void> {
    const {work, answer} = job;
    const refusedTurn = await this.#waitForTurn(job);
    const failure = refusedTurn ?? (await this.#execute(job));
    this.#options.queue.finish(work.id);
    if (failure === undefined) answer.end(this.load());
    else {
      this.#logRefusal(work, failure);
      answer.fail(failure, this.load());
    }
    const now = this.#options.clock.now();
    this.#finishedAtMs.set(work.id, now);
    this.#endedRequests.record(work.id, failure?.ran ?? 'yes', now);
    this.#dispatch();
  }

  #execute(job: Job): Promise<Failure | undefined> {
    const {task} = job.work;
    job.answer.publish({kind: 'started'});
    return task.kind === 'generation' ? this.#generate(job, task) : this.#call(job, task);
  }

  /** Waits until the queue starts the request; resolves to a failure when it is refused, shed or stopped. */
  #waitForTurn(job: Job): Promise<Failure | undefined> {
    return new Promise((resolve) => {
      job.resolveTurn = (failure) => {
        job.resolveTurn = undefined;
        resolve(failure);
      };
    });
  }

  #dispatch(): void {
    for (const directive of this.#options.queue.next()) this.#apply(directive);
  }

  #apply(directive: SchedulingDirective): void {
    const job = this.#jobs.get(directive.id);
    if (job === undefined) return;
    switch (directive.kind) {
      case 'start':
        job.hasStarted = true;
        job.resolveTurn?.(undefined);
        break;
      case 'preempt':
        this.#options.logger.info('preempted', {
          decision: 'preemption',
          request: directive.id,
          for: directive.for,
          class: job.work.class,
          account: job.work.account,
        });
        job.pause?.();
        break;
      case 'shed':
        job.resolveTurn?.(directive.failure);
        break;
    }
  }

  #generate(job: Job, generation: Generation): Promise<Failure | undefined> {
    const {engine, queue, clock, timing} = this.#options;
    if (engine === undefined) throw new Error('a generation requires an engine');
    const {work, answer, controller} = job;
    return runGeneration({
      clock,
      engine,
      work,
      generation,
      answer,
      timing,
      signal: controller.signal,
      setPauseHandler: (pause) => {
        job.pause = pause;
      },
      observeChunk: () => {
        if (queue.observeToken(work.id)) this.#dispatch();
      },
      ignoreNextGap: () => {
        queue.ignoreNextGap(work.id);
      },
      waitForTurn: () => {
        queue.requeue(work.id);
        const turn = this.#waitForTurn(job);
        this.#dispatch();
        return turn;
      },
    });
  }

  async #call(job: Job, call: Call): Promise<Failure | undefined> {
    const {calls} = this.#options;
    if (calls === undefined) throw new Error('a call requires a plain service');
    const {work, answer, controller} = job;
    const outcome = await calls.run(work, call, controller.signal);
    if (outcome.isErr()) return outcome.error;
    const {status, headers, body} = outcome.value;
    answer.publish({kind: 'head', status, headers: {...headers}});
    await answer.publishChunk(body, controller.signal);
    return undefined;
  }

  #logRefusal(work: WorkRequest, failure: Failure): void {
    this.#options.logger.info('refused', {
      decision: 'refusal',
      request: work.id,
      class: work.class,
      account: work.account,
      code: failure.code,
      ran: failure.ran,
      configuration: work.configuration,
    });
  }

  /** Stops requests whose answers have no reader, and drops expired answers and ids. */
  #sweep(): void {
    const {clock, timing} = this.#options;
    const now = clock.now();
    // After a process pause, nothing is stopped or dropped for `detachedLimitMs`, so delayed readers can reconnect.
    this.#endedRequests.sweep(now);
    if (this.#pauseDetector.check(now) < timing.detachedLimitMs) return;
    for (const [id, {answer}] of this.#jobs) {
      const {detachedAtMs, isFinished} = answer;
      if (isFinished || detachedAtMs === undefined) continue;
      if (now - detachedAtMs > timing.detachedLimitMs) this.#stop(id, 'answer_incomplete');
    }
    for (const [id, atMs] of this.#finishedAtMs) {
      if (now - atMs <= timing.answerRetentionMs) continue;
      this.#finishedAtMs.delete(id);
      this.#jobs.delete(id);
    }
  }
}
