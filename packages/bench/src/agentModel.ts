/** Simulated agent: the product's request queue in front of a simulated backend. */
import type {SchedulingDirective} from '@marigoldfold/agent';
import {
  type Failure,
  type Load,
  refusal,
  type Tier,
  type WithdrawalOutcome,
} from '@marigoldfold/protocol';
import type {Clock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {RequestArrival} from './arrivals.js';
import type {Backend} from './backend.js';
import type {RequestQueue} from './firstComeQueue.js';
import type {InvariantChecker} from './invariants.js';
import type {RunMeasurements} from './measures.js';

/** Callbacks for the progress and the end of a request at an agent. */
export interface AttemptListener {
  readonly onStarted: () => void;
  readonly onToken: (number: number) => void;
  readonly onRefused: (failure: Failure) => void;
  /** The agent crashed while it held the request. */
  readonly onLost: () => void;
}

/** Dependencies and capabilities of an agent model. */
export interface AgentModelOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly backend: Backend;
  readonly createQueue: () => RequestQueue;
  readonly setsPriority: boolean;
  /** Whether the backend can pause a request. */
  readonly canPause: boolean;
  readonly checker: InvariantChecker;
  readonly measures: RunMeasurements;
}

/** A request that an agent holds; `generated` is its number of tokens so far. */
export interface Attempt {
  readonly arrival: RequestArrival;
  readonly tier: Tier;
  readonly state: 'queued' | 'running' | 'paused';
  readonly generated: number;
}

interface MutableAttempt extends Attempt {
  readonly listener: AttemptListener;
  state: Attempt['state'];
  generated: number;
  startedAtMs: number;
}

/** Time until the deadline of a request whose class has no first-token or completion target. */
const DEFAULT_DEADLINE_MS = 600_000;

/** Queues requests, dispatches them to its backend, and can crash and restart. */
export class AgentModel {
  readonly #options: AgentModelOptions;
  readonly #attempts = new Map<string, MutableAttempt>();
  #queue: RequestQueue;
  #incarnation = 1;
  #isUp = true;

  constructor(options: AgentModelOptions) {
    this.#options = options;
    this.#queue = options.createQueue();
  }

  get name(): string {
    return this.#options.name;
  }

  get backend(): Backend {
    return this.#options.backend;
  }

  /** Whether running requests can be preempted. */
  get canPause(): boolean {
    return this.#options.canPause;
  }

  /** False between a crash and the restart. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Queued, running and paused requests. */
  get attempts(): Iterable<Attempt> {
    return this.#attempts.values();
  }

  /** Queues a request, or returns why it is refused. */
  submit(arrival: RequestArrival, listener: AttemptListener): Result<void, Failure> {
    const {requestClass, atMs} = arrival;
    const {tier, firstTokenMs, completionMs, interTokenMs, typicalOutputTokens} = requestClass;
    const dueAtMs = atMs + (firstTokenMs ?? completionMs ?? DEFAULT_DEADLINE_MS);
    const item = {
      id: arrival.id,
      tier,
      dueAtMs,
      interTokenTargetMs: interTokenMs,
      typicalOutputTokens,
    };
    const offered = this.#queue.offer(item);
    if (offered.isErr()) {
      this.#options.checker.onShed(this, arrival, offered.error);
      return err(offered.error);
    }
    this.#recordEvent(arrival.id, `queued in tier ${tier}`);
    const initial = {state: 'queued', generated: 0, startedAtMs: 0} as const;
    this.#attempts.set(arrival.id, {arrival, tier, listener, ...initial});
    this.#dispatch();
    return ok(undefined);
  }

  /** Removes a request from the queue; a request that has started is not removed. */
  withdraw(id: string): WithdrawalOutcome {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined) return 'finished';
    if (attempt.state !== 'queued' || !this.#queue.remove(id)) return 'started';
    this.#attempts.delete(id);
    this.#recordEvent(id, 'withdrawn');
    return 'never-started';
  }

  /** The current load report. */
  load(): Load {
    const {running, queued, waitMs, ...measured} = this.#queue.load();
    return {
      incarnation: `${this.name}.${this.#incarnation}`,
      configuration: 1,
      running: [...running],
      queued: [...queued],
      waitMs: [...waitMs],
      ...measured,
      isLeaving: false,
    };
  }

  /** Stops the agent and its backend, and reports every request that they held as lost. */
  crash(): void {
    this.#isUp = false;
    this.backend.crash();
    const lost = [...this.#attempts.values()];
    this.#attempts.clear();
    for (const {arrival, listener} of lost) {
      this.#recordEvent(arrival.id, 'lost in a crash');
      listener.onLost();
    }
  }

  /** Starts a new incarnation with an empty queue. */
  restart(): void {
    this.#incarnation += 1;
    this.#queue = this.#options.createQueue();
    this.#isUp = true;
  }

  #dispatch(): void {
    for (const directive of this.#queue.next()) this.#applyDirective(directive);
  }

  #applyDirective(directive: SchedulingDirective): void {
    const attempt = this.#attempts.get(directive.id);
    if (attempt === undefined)
      throw new Error(`the queue returned a directive for the unknown request ${directive.id}`);
    switch (directive.kind) {
      case 'start':
        this.#start(attempt);
        break;
      case 'preempt':
        this.#preempt(attempt, directive.for);
        break;
      case 'shed':
        this.#attempts.delete(directive.id);
        this.#options.checker.onShed(this, attempt.arrival, directive.failure);
        attempt.listener.onRefused(directive.failure);
        break;
    }
  }

  #start(attempt: MutableAttempt): void {
    const {arrival, tier} = attempt;
    const isResumed = attempt.state === 'paused';
    attempt.state = 'running';
    attempt.startedAtMs = this.#options.clock.now();
    this.#recordEvent(arrival.id, isResumed ? 'resumed' : 'started');
    if (isResumed) {
      this.backend.resume(arrival.id);
      return;
    }
    attempt.listener.onStarted();
    this.#options.checker.onStarted(arrival);
    const priority = this.#options.setsPriority ? tier : 0;
    this.backend.begin({...arrival, priority}, (number) => {
      this.#onToken(attempt, number);
    });
  }

  #preempt(victim: MutableAttempt, beneficiary: string): void {
    const {id} = victim.arrival;
    const attempt = this.#attempts.get(beneficiary);
    this.#recordEvent(id, `preempted for ${beneficiary} after ${victim.generated} tokens`);
    this.#options.checker.onPreempted(this, victim, attempt);
    this.backend.pause(id);
    this.#recordSlotTime(victim);
    victim.state = 'paused';
    this.#queue.requeue(id);
    this.#dispatch();
  }

  #onToken(attempt: MutableAttempt, number: number): void {
    attempt.generated = number;
    const {arrival, listener} = attempt;
    const isLast = number === arrival.outputTokens;
    const isChanged = this.#queue.observeToken(arrival.id);
    if (isLast) {
      this.#attempts.delete(arrival.id);
      this.#recordSlotTime(attempt);
      this.#queue.finish(arrival.id);
      this.#recordEvent(arrival.id, 'finished');
    }
    listener.onToken(number);
    if (isLast || isChanged) this.#dispatch();
  }

  #recordSlotTime({arrival, startedAtMs}: MutableAttempt): void {
    this.#options.measures.recordSlotTime(arrival, startedAtMs, this.#options.clock.now());
  }

  #recordEvent(id: string, event: string): void {
    this.#options.checker.recordEvent(id, `${this.name}: ${event}`);
  }
}

/** The failure of a request that was not sent because the agent is down; it states that the request has not run. */
export function createUnreachableFailure(agent: AgentModel): Failure {
  return refusal('endpoint_unreachable', `${agent.name} cannot be reached`);
}
