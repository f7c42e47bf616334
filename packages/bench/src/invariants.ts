/** Invariants of every simulated run, checked while it runs. */
import type {Failure} from '@marigoldfold/protocol';
import type {Clock} from '@marigoldfold/runtime';
import type {AgentModel, Attempt} from './agentModel.js';
import type {RequestArrival} from './arrivals.js';

/** A violated invariant, with the events of the request up to the violation. */
export interface InvariantViolation {
  readonly rule: 'urgent-first' | 'admitted-finishes' | 'not-run-did-no-work' | 'answers-whole';
  readonly request: string;
  readonly message: string;
  readonly trace: readonly string[];
}

/**
 * Tiers with numbers below this are urgent: an agent never sheds their requests while it serves a request of a less
 * urgent tier.
 */
export const URGENT_TIER_COUNT = 2;

const MAX_VIOLATIONS = 20;

/** Checks the invariants of one run; keeps the first `MAX_VIOLATIONS` violations. */
export class InvariantChecker {
  readonly #clock: Clock;
  readonly #traces = new Map<string, string[]>();
  readonly #violations: InvariantViolation[] = [];
  readonly #started = new Set<string>();
  readonly #tokenCounts = new Map<string, number>();
  readonly #ended = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Violations so far, in order of detection. */
  get violations(): readonly InvariantViolation[] {
    return this.#violations;
  }

  /** Appends an event to the trace of a request. */
  recordEvent(request: string, event: string): void {
    const line = `${this.#clock.now().toFixed(1)} ms ${event}`;
    const trace = this.#traces.get(request);
    if (trace === undefined) this.#traces.set(request, [line]);
    else trace.push(line);
  }

  /** Called when an agent refuses a request or sheds it from its queue. */
  onShed(agent: AgentModel, {id, requestClass}: RequestArrival, failure: Failure): void {
    this.recordEvent(id, `${agent.name}: refused, ${failure.code}`);
    if (failure.ran !== 'no') return;
    if (requestClass.tier >= URGENT_TIER_COUNT) return;
    for (const other of agent.attempts) {
      if (other.tier <= requestClass.tier || other.arrival.id === id) continue;
      // A queued request of a lower tier counts only if the queue is full, as it takes up capacity.
      const isServedInstead =
        other.state === (failure.code === 'overloaded' ? 'queued' : 'running');
      if (!isServedInstead && other.state !== 'running') continue;
      if (other.state === 'running' && !agent.canPause) continue;
      const message = `refused by ${agent.name} in tier ${requestClass.tier} while ${other.arrival.id} of tier ${other.tier} is ${other.state}`;
      this.#addViolation('urgent-first', id, message);
      return;
    }
  }

  /** Called when an endpoint starts a request; a later failure that states `ran: no` is a violation. */
  onStarted({id}: RequestArrival): void {
    this.#started.add(id);
  }

  /** Called when an agent preempts a request; `beneficiary` is the request that gets the slot. */
  onPreempted(agent: AgentModel, victim: Attempt, beneficiary: Attempt | undefined): void {
    const {id} = victim.arrival;
    if (beneficiary === undefined) {
      this.#addViolation(
        'urgent-first',
        id,
        `preempted by ${agent.name} for a request that is no longer there`,
      );
      return;
    }
    if (beneficiary.tier <= victim.tier) return;
    const message = `preempted by ${agent.name} for ${beneficiary.arrival.id} of lower tier ${beneficiary.tier}`;
    this.#addViolation('urgent-first', id, message);
  }

  /** Called for each token of an answer, with its number from 1. */
  onToken({id, outputTokens}: RequestArrival, number: number): void {
    const previousNumber = this.#tokenCounts.get(id) ?? 0;
    if (number !== previousNumber + 1 || number > outputTokens) {
      this.#addViolation(
        'answers-whole',
        id,
        `token ${number} came after ${previousNumber} of ${outputTokens}`,
      );
    }
    this.#tokenCounts.set(id, number);
  }

  /** Called when a caller has received its complete answer. */
  onFinished({id, outputTokens}: RequestArrival): void {
    const receivedTokens = this.#tokenCounts.get(id) ?? 0;
    if (receivedTokens !== outputTokens || this.#ended.has(id)) {
      this.#addViolation(
        'answers-whole',
        id,
        `finished with ${receivedTokens} of ${outputTokens} tokens`,
      );
    }
    this.#ended.add(id);
  }

  /** Called when a caller receives a failure. */
  onFailed({id}: RequestArrival, failure: Failure): void {
    this.recordEvent(id, `failed: ${failure.code}, ran ${failure.ran}`);
    const receivedTokens = this.#tokenCounts.get(id) ?? 0;
    if (failure.ran === 'no' && this.#started.has(id)) {
      const message = `${failure.code} reports "not run" after a start and ${receivedTokens} tokens`;
      this.#addViolation('not-run-did-no-work', id, message);
    }
    this.#ended.add(id);
  }

  /** Called at the end of the run; reports requests that have not ended. */
  onEnd(arrivals: readonly RequestArrival[]): void {
    for (const {id} of arrivals) {
      if (!this.#ended.has(id)) this.#addViolation('admitted-finishes', id, 'never ended');
    }
  }

  #addViolation(rule: InvariantViolation['rule'], request: string, message: string): void {
    if (this.#violations.length >= MAX_VIOLATIONS) return;
    this.#violations.push({rule, request, message, trace: this.#traces.get(request) ?? []});
  }
}
