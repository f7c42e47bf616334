/** Runs requests on one endpoint: takes them in, queues, starts, preempts, withdraws and drains. */
import {DisposableStore, repeat, sleep} from '@marigoldfold/runtime';
import {
  type Call,
  type Failure,
  failureWith,
  type Generation,
  type Load,
  refusal,
  type Withdrawal,
  type Work,
} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {Answer} from './answer.js';
import {EndedRequests} from './endedRequests.js';
import {runGeneration, stopMessages, type StopReason} from './generationRun.js';
import {PauseDetector} from './pauseDetector.js';
import type {WorkerOptions} from './workerOptions.js';
import type {Directive} from './workQueue.js';

interface Job {
  readonly work: Work;
  readonly answer: Answer;
  readonly controller: AbortController;
  hasStarted: boolean;
  /** Pauses the running stream. */
  pause: (() => void) | undefined;
  /** Passes on what the queue decided. */
  resolveTurn: ((failure: Failure | undefined) => void) | undefined;
}

const SWEEP_INTERVAL_MS = 1000;
const PAUSE_THRESHOLD_MS = 5 * SWEEP_INTERVAL_MS;
const DRAIN_CHECK_MS = 20;

/** The only way to an endpoint. */
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

  /** Identity of this life of the agent. */
  get incarnation(): string {
    return this.#options.incarnation;
  }

  /** Number of requests that have not ended. */
  get activeCount(): number {
    return this.#jobs.size - this.#finishedAtMs.size;
  }

  /** Takes a request in. */
  submit(work: Work): Result<Answer, Failure> {
    // An entry that lost the first answer may send again; it gets the same answer.
    const known = this.#jobs.get(work.id);
    if (known !== undefined) return ok(known.answer);
    const problem = this.#findRefusal(work);
    if (problem !== undefined) return err(problem);
    const {clock, queue} = this.#options;
    const offered = queue.offer({
      id: work.id,
      tier: work.tier,
      dueAtMs: clock.now() + work.firstTokenBudgetMs,
      interTokenTargetMs: work.interTokenTargetMs,
      typicalOutputTokens: work.typicalOutputTokens,
    });
    if (offered.isErr()) {
      this.#logRefusal(work, offered.error);
      return err(offered.error);
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

  /** The answer to a request that was taken in. */
  answer(id: string): Answer | undefined {
    return this.#jobs.get(id)?.answer;
  }

  /** Notes that the reader has the chunks of an answer up to a number. */
  acknowledge(id: string, chunk: number): void {
    this.#jobs.get(id)?.answer.acknowledge(chunk);
  }

  /** Takes back a request that has not been started; a later arrival of the same id is refused. */
  withdraw(id: string): Withdrawal {
    const job = this.#jobs.get(id);
    const ran = this.#endedRequests.find(id);
    if (ran !== undefined) return ran === 'no' ? 'never-started' : 'finished';
    if (job?.hasStarted === true) return 'started';
    this.#endedRequests.record(id, 'no', this.#options.clock.now());
    if (job !== undefined) {
      this.#options.queue.remove(id);
      job.resolveTurn?.(
        failureWith('withdrawn', 'withdrawn', 'the request was taken back before it started'),
      );
    }
    return 'never-started';
  }

  /** Stops a request whose caller has gone; a later arrival of the same id is refused. */
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

  /** The state of the endpoint. */
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

  /** Whether the endpoint is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Lets running work end, gives queued work back, and resolves when every answer was read. */
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
    while (this.#hasPendingAnswers()) await sleep(clock, DRAIN_CHECK_MS);
    await this.#options.calls?.drain();
  }

  /** Whether an answer is still being made, or is whole and may still be fetched. */
  #hasPendingAnswers(): boolean {
    const {clock, timing} = this.#options;
    for (const {answer, controller} of this.#jobs.values()) {
      if (!answer.isFinished) return true;
      // Nobody fetches the answer of a cancelled request.
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

  #findRefusal(work: Work): Failure | undefined {
    const {incarnation} = this.#options;
    if (work.agent !== undefined && work.agent !== incarnation) {
      return refusal('stale_incarnation', `the request is for incarnation ${work.agent}`);
    }
    const ran = this.#endedRequests.find(work.id);
    if (ran === 'no') return refusal('withdrawn', `request ${work.id} was taken back`);
    if (ran !== undefined) {
      return {code: 'answer_incomplete', message: 'the answer is no longer kept', ran};
    }
    if (this.#refusesWork) return refusal('leaving', 'the endpoint is leaving');
    const {engine, calls} = this.#options;
    const runner = work.task.kind === 'generation' ? engine : calls;
    if (runner === undefined) {
      return refusal('no_endpoint', `the endpoint does not run a ${work.task.kind}`);
    }
    return undefined;
  }

  async #run(job: Job): Promise<void> {
    const {work, answer} = job;
    const refused = await this.#waitForTurn(job);
    const failure = refused ?? (await this.#execute(job));
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

  /** Waits until the queue lets the request run; resolves to a failure when it never will. */
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

  #apply(directive: Directive): void {
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
    if (engine === undefined) throw new Error('a generation without an engine');
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
    if (calls === undefined) throw new Error('a call without a plain service');
    const {work, answer, controller} = job;
    const outcome = await calls.run(work, call, controller.signal);
    if (outcome.isErr()) return outcome.error;
    const {status, headers, body} = outcome.value;
    answer.publish({kind: 'head', status, headers: {...headers}});
    await answer.publishChunk(body, controller.signal);
    return undefined;
  }

  #logRefusal(work: Work, failure: Failure): void {
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

  /** Stops work that nobody reads any more, and forgets what was kept long enough. */
  #sweep(): void {
    const {clock, timing} = this.#options;
    const now = clock.now();
    // Readers and requests that came while the process was paused get their turn before anything is dropped.
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
