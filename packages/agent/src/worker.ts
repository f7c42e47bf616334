/** Runs requests on one endpoint: takes them in, queues, starts, preempts, withdraws and drains. */
import {
  type Clock,
  DisposableStore,
  isAborted,
  type Logger,
  repeat,
  sleep,
} from '@marigoldfold/runtime';
import {
  type Call,
  type Failure,
  type Generation,
  type Load,
  refusal,
  type Withdrawal,
  type Work,
} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {Answer} from './answer.js';
import type {CallRunner} from './callRunner.js';
import type {Engine, EngineEnd, EngineStream} from './engine.js';
import type {Directive, WorkQueue} from './workQueue.js';

/** What a worker needs. An endpoint is either an engine or a plain service. */
export interface WorkerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly queue: WorkQueue;
  readonly engine?: Engine;
  readonly calls?: CallRunner;
  /** Number of the configuration in force here. */
  readonly configurationNumber: () => number;
  readonly timing: WorkerTiming;
}

/** Durations in milliseconds. */
export interface WorkerTiming {
  /** How long work goes on without a reader. */
  readonly detachedLimitMs: number;
  /** How long a finished answer or a withdrawal is remembered. */
  readonly retentionMs: number;
  /** Between announcing that the endpoint leaves and refusing new work. */
  readonly leaveGraceMs: number;
}

/** Usual durations. */
export const defaultWorkerTiming: WorkerTiming = {
  detachedLimitMs: 10_000,
  retentionMs: 60_000,
  leaveGraceMs: 2000,
};

interface Job {
  readonly work: Work;
  readonly answer: Answer;
  readonly controller: AbortController;
  hasStarted: boolean;
  /** Pauses the running stream. */
  pause: (() => void) | undefined;
  /** Passes on what the queue decided. */
  settleTurn: ((failure: Failure | undefined) => void) | undefined;
}

const SWEEP_INTERVAL_MS = 1000;
const MAX_ENGINE_BREAKS = 3;
const ENGINE_RETRY_MS = 200;

/** The only way to an endpoint. */
export class Worker implements Disposable {
  readonly #options: WorkerOptions;
  readonly #jobs = new Map<string, Job>();
  readonly #finishedAtMs = new Map<string, number>();
  readonly #withdrawnAtMs = new Map<string, number>();
  readonly #disposables = new DisposableStore();
  #isLeaving = false;
  #refusesWork = false;
  #notifyIdle: (() => void) | undefined;

  constructor(options: WorkerOptions) {
    this.#options = options;
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

  /** Number of requests that have not ended. */
  get activeCount(): number {
    return this.#jobs.size - this.#finishedAtMs.size;
  }

  /** Takes a request in. */
  submit(work: Work): Result<Answer, Failure> {
    // An entry that lost the first answer may send again; it gets the same answer.
    const known = this.#jobs.get(work.id);
    if (known !== undefined) return ok(known.answer);
    const problem = this.#findProblem(work);
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
      settleTurn: undefined,
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

  /** Takes back a request that has not been started; a later arrival of the same id is refused. */
  withdraw(id: string): Withdrawal {
    const job = this.#jobs.get(id);
    if (job?.answer.isFinished === true) return 'finished';
    if (job?.hasStarted === true) return 'started';
    this.#withdrawnAtMs.set(id, this.#options.clock.now());
    if (job !== undefined) {
      this.#options.queue.remove(id);
      job.settleTurn?.(refusal('withdrawn', 'the request was taken back before it started'));
    }
    return 'never-started';
  }

  /** Stops a request whose caller has gone. */
  cancel(id: string): boolean {
    const job = this.#jobs.get(id);
    if (job === undefined || job.answer.isFinished) return false;
    const isQueued = this.#options.queue.remove(id);
    job.controller.abort();
    if (isQueued) job.settleTurn?.(refusal('caller_gone', 'the caller has gone'));
    return true;
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

  /** Lets running work end, gives queued work back, and resolves when nothing is left. */
  async drain(): Promise<void> {
    const {clock, logger, timing, queue} = this.#options;
    this.#isLeaving = true;
    logger.info('leaving', {active: this.activeCount});
    await sleep(clock, timing.leaveGraceMs);
    this.#refusesWork = true;
    for (const [id, job] of this.#jobs) {
      if (job.hasStarted || !queue.remove(id)) continue;
      job.settleTurn?.(refusal('leaving', 'the endpoint is leaving'));
    }
    while (this.activeCount > 0) {
      await new Promise<void>((resolve) => {
        this.#notifyIdle = resolve;
      });
    }
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
    for (const job of this.#jobs.values()) job.controller.abort();
  }

  #findProblem(work: Work): Failure | undefined {
    if (this.#refusesWork) return refusal('leaving', 'the endpoint is leaving');
    if (this.#withdrawnAtMs.has(work.id)) {
      return refusal('withdrawn', `request ${work.id} was taken back`);
    }
    const {engine, calls} = this.#options;
    const runner = work.task.kind === 'generation' ? engine : calls;
    if (runner === undefined) {
      return refusal('no_endpoint', `the endpoint does not run a ${work.task.kind}`);
    }
    return undefined;
  }

  async #run(job: Job): Promise<void> {
    const {work, answer} = job;
    const refused = await this.#turn(job);
    const failure = refused ?? (await this.#serve(job));
    this.#options.queue.finish(work.id);
    if (failure === undefined) answer.end(this.load());
    else {
      this.#logRefusal(work, failure);
      answer.fail(failure, this.load());
    }
    this.#finishedAtMs.set(work.id, this.#options.clock.now());
    this.#dispatch();
    this.#notifyIdle?.();
  }

  #serve(job: Job): Promise<Failure | undefined> {
    const {task} = job.work;
    job.answer.publish({kind: 'started'});
    return task.kind === 'generation' ? this.#generate(job, task) : this.#call(job, task);
  }

  /** Waits until the queue lets the request run; resolves to a failure when it never will. */
  #turn(job: Job): Promise<Failure | undefined> {
    return new Promise((resolve) => {
      job.settleTurn = (failure) => {
        job.settleTurn = undefined;
        resolve(failure);
      };
    });
  }

  #dispatch(): void {
    for (const directive of this.#options.queue.next()) this.#follow(directive);
  }

  #follow(directive: Directive): void {
    const job = this.#jobs.get(directive.id);
    if (job === undefined) return;
    switch (directive.kind) {
      case 'start':
        job.hasStarted = true;
        job.settleTurn?.(undefined);
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
        job.settleTurn?.(directive.failure);
        break;
    }
  }

  async #generate(job: Job, generation: Generation): Promise<Failure | undefined> {
    const {engine, queue, clock} = this.#options;
    if (engine === undefined) throw new Error('a generation without an engine');
    const {work, answer, controller} = job;
    const engineJob = {id: work.id, priority: work.tier, generation};
    let isBegun = false;
    let breaks = 0;
    while (!controller.signal.aborted) {
      const pauser = new AbortController();
      job.pause = () => {
        pauser.abort();
      };
      const signal = AbortSignal.any([pauser.signal, controller.signal]);
      const stream = isBegun
        ? engine.resume(work.id, answer.chunkCount, signal)
        : engine.begin(engineJob, signal);
      isBegun = true;
      const end = await this.#copy(job, stream);
      job.pause = undefined;
      if (end.kind === 'whole') return undefined;
      if (end.kind === 'refused') return describeRefusal(end);
      if (isAborted(pauser.signal) && !isAborted(controller.signal)) {
        queue.requeue(work.id);
        const turn = this.#turn(job);
        this.#dispatch();
        const refused = await turn;
        if (refused !== undefined) return {...refused, ran: 'yes'};
        continue;
      }
      if (end.kind === 'unknown') {
        if (answer.chunkCount > 0) break;
        isBegun = false;
      }
      breaks += 1;
      if (breaks > MAX_ENGINE_BREAKS) break;
      await sleep(clock, ENGINE_RETRY_MS, controller.signal);
    }
    await engine.cancel(work.id);
    if (controller.signal.aborted) {
      return {code: 'caller_gone', message: 'the caller has gone', ran: 'yes'};
    }
    return {code: 'endpoint_failed', message: 'the engine stopped in mid-answer', ran: 'yes'};
  }

  async #copy({work, answer, controller}: Job, stream: EngineStream): Promise<EngineEnd> {
    const {clock, queue} = this.#options;
    while (true) {
      const {done, value} = await stream.next();
      if (done === true) return value;
      // A chunk that came before is a repetition after a resume; a gap means that one was lost.
      if (value.number <= answer.chunkCount) continue;
      if (value.number > answer.chunkCount + 1) {
        await stream.return({kind: 'broken'});
        return {kind: 'broken'};
      }
      if (queue.observeToken(work.id)) this.#dispatch();
      const publishedAtMs = clock.now();
      await answer.publishChunk(value.data, controller.signal);
      // A wait for a slow reader is not the engine's.
      if (clock.now() > publishedAtMs) queue.skipGap(work.id);
    }
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
    for (const [id, {answer}] of this.#jobs) {
      const {detachedAtMs, isFinished} = answer;
      if (isFinished || detachedAtMs === undefined) continue;
      if (now - detachedAtMs > timing.detachedLimitMs) this.cancel(id);
    }
    for (const [id, atMs] of this.#finishedAtMs) {
      if (now - atMs <= timing.retentionMs) continue;
      this.#finishedAtMs.delete(id);
      this.#jobs.delete(id);
    }
    for (const [id, atMs] of this.#withdrawnAtMs) {
      if (now - atMs > timing.retentionMs) this.#withdrawnAtMs.delete(id);
    }
  }
}

const CLIENT_ERROR = {first: 400, last: 499} as const;

function describeRefusal({status, message}: Extract<EngineEnd, {kind: 'refused'}>): Failure {
  const text = `the engine answered ${status}: ${message}`;
  if (status >= CLIENT_ERROR.first && status <= CLIENT_ERROR.last)
    return refusal('bad_request', text);
  return {code: 'endpoint_failed', message: text, ran: 'unknown'};
}
