/** Simulated entry: account limits, endpoint selection, retries and moves, without HTTP. */
import {
  type AccountLimits,
  type Candidate,
  ClassBaseline,
  type EndpointCriteria,
  EndpointSelector,
  RetryBudget,
  type TrackedRequest,
} from '@marigoldfold/coordination';
import {
  type Failure,
  type Instance,
  type Load,
  type Ran,
  combineRan,
  refusal,
} from '@marigoldfold/protocol';
import type {Clock, Random} from '@marigoldfold/runtime';
import type {Account, Configuration} from '@marigoldfold/state';
import {ok, type Result} from 'neverthrow';
import {type AgentModel, createUnreachableFailure} from './agentModel.js';
import type {RequestArrival} from './arrivals.js';
import type {InvariantChecker} from './invariants.js';
import type {RunMeasurements, RequestRecord} from './measures.js';
import type {Policy} from './policies.js';

/** Dependencies of an entry model. */
export interface EntryModelOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: Policy;
  readonly configuration: Configuration;
  readonly instances: readonly Instance[];
  readonly agents: ReadonlyMap<string, AgentModel>;
  readonly networkMs: number;
  /** Current extra delay of an agent's load reports, in milliseconds. */
  readonly reportLagMs: (agent: string) => number;
  readonly limits: AccountLimits;
  readonly measures: RunMeasurements;
  readonly checker: InvariantChecker;
}

interface RequestState {
  readonly arrival: RequestArrival;
  readonly record: RequestRecord;
  readonly excluded: Set<string>;
  /** Whether an earlier attempt has run or may have run. */
  ran: Ran;
  readonly release: () => void;
  moveCount: number;
}

/** One attempt of a request at one agent. */
interface EntryAttempt {
  readonly request: RequestState;
  readonly agent: AgentModel;
  readonly tracked: TrackedRequest;
  startedAtMs: number | undefined;
  lastTokenAtMs: number;
  hasEnded: boolean;
}

const MODEL = 'model';
/** Interval between comparisons of endpoints for a queued request, as in the product's entry. */
const COMPARE_INTERVAL_MS = 200;
const MAX_MOVES = 2;

/** Admits requests, selects an agent for each of them, and retries or moves them. */
export class EntryModel {
  readonly #options: EntryModelOptions;
  readonly #endpointSelector: EndpointSelector;
  readonly #retryBudget = new RetryBudget();
  readonly #baseline = new ClassBaseline();
  #roundRobinIndex = 0;

  constructor(options: EntryModelOptions) {
    this.#options = options;
    const {clock, random, name, configuration, instances, policy} = options;
    const {mechanisms} = policy;
    this.#endpointSelector = new EndpointSelector({clock, random, self: name, mechanisms});
    this.#endpointSelector.update(configuration, instances);
  }

  /** Handles a request from a caller. */
  accept(arrival: RequestArrival): void {
    const record = this.#options.measures.startRecord(arrival);
    const admitted = this.#admit(arrival);
    const release = () => {
      if (admitted.isOk()) admitted.value?.[Symbol.dispose]();
    };
    const request: RequestState = {
      arrival,
      record,
      excluded: new Set(),
      ran: 'no',
      release,
      moveCount: 0,
    };
    if (admitted.isErr()) this.#fail(request, admitted.error);
    else this.#send(request, undefined);
  }

  #admit({account: name, requestClass}: RequestArrival): Result<Disposable | undefined, Failure> {
    const {policy, limits, configuration} = this.#options;
    const account: Account | undefined = configuration.get('account', name);
    if (!policy.limitsAccounts || account === undefined) return ok(undefined);
    // The directory of the account limits has a single entry, so admission needs no call to another entry.
    return limits.admitNow(name, account, requestClass.tier) ?? ok(undefined);
  }

  #send(request: RequestState, previousFailure: Failure | undefined): void {
    const chosen = this.#choose(request);
    if (chosen.isErr()) {
      this.#fail(request, previousFailure ?? chosen.error);
      return;
    }
    this.#sendTo(request, chosen.value);
  }

  #sendTo(request: RequestState, candidate: Candidate): void {
    const {name} = candidate.instance;
    const agent = this.#options.agents.get(name);
    if (agent === undefined) throw new Error(`there is no agent named ${name}`);
    const {id, requestClass} = request.arrival;
    this.#options.checker.recordEvent(id, `${this.#options.name}: sent to ${name}`);
    const tracked = this.#endpointSelector.trackRequest(candidate, requestClass.tier);
    const attempt = {
      request,
      agent,
      tracked,
      startedAtMs: undefined,
      lastTokenAtMs: 0,
      hasEnded: false,
    };
    this.#afterNetworkDelay(() => {
      this.#submit(attempt);
    });
  }

  #createCriteria({arrival, excluded}: RequestState): EndpointCriteria {
    const {requestClass} = arrival;
    const {configuration} = this.#options;
    const state = configuration.get('class', requestClass.name);
    const set = configuration.get('endpointSet', requestClass.endpointSet);
    if (state === undefined || set === undefined)
      throw new Error('the configuration lacks the class of the request or its endpoint set');
    const target =
      set.service === undefined
        ? ({kind: 'model', model: MODEL} as const)
        : ({kind: 'service', service: set.service} as const);
    return {requestClass: state, tier: requestClass.tier, target, excluded};
  }

  #choose(request: RequestState): Result<Candidate, Failure> {
    const {requestClass} = request.arrival;
    const criteria = this.#createCriteria(request);
    if (this.#options.policy.selection === 'product')
      return this.#endpointSelector.choose(criteria);
    // Round robin: all endpoints but the next one are excluded.
    const names = [...this.#options.agents.keys()].filter((name) =>
      name.startsWith(`${requestClass.endpointSet}-`),
    );
    this.#roundRobinIndex += 1;
    const nextName = names[this.#roundRobinIndex % names.length];
    return this.#endpointSelector.choose({
      ...criteria,
      excluded: new Set(names.filter((name) => name !== nextName)),
    });
  }

  #submit(attempt: EntryAttempt): void {
    const {request, agent} = attempt;
    const {arrival, record} = request;
    const {clock, networkMs, checker} = this.#options;
    if (!agent.isUp) {
      this.#afterNetworkDelay(() => {
        this.#endpointSelector.recordFailure(agent.name);
        this.#retry(attempt, createUnreachableFailure(agent));
      });
      return;
    }
    const submitted = agent.submit(arrival, {
      onStarted: () => {
        attempt.startedAtMs = clock.now();
        this.#afterNetworkDelay(() => {
          attempt.tracked.recordStart();
        });
      },
      onToken: (number) => {
        checker.onToken(arrival, number);
        record.onToken(clock.now() + networkMs);
        this.#afterNetworkDelay(() => {
          this.#observeToken(attempt, number);
        });
        if (number < arrival.outputTokens) return;
        this.#deliverLoad(attempt);
        this.#afterNetworkDelay(() => {
          this.#finish(attempt);
        });
      },
      onRefused: (failure) => {
        this.#deliverLoad(attempt);
        this.#afterNetworkDelay(() => {
          this.#retry(attempt, failure);
        });
      },
      onLost: () => {
        this.#afterNetworkDelay(() => {
          this.#endpointSelector.recordFailure(agent.name);
          this.#retry(attempt, agentLostFailure(agent, record.tokens));
        });
      },
    });
    this.#deliverLoad(attempt);
    if (submitted.isErr()) {
      const failure = submitted.error;
      this.#afterNetworkDelay(() => {
        this.#retry(attempt, failure);
      });
    } else if (attempt.startedAtMs === undefined) this.#scheduleComparison(attempt);
  }

  /** Compares endpoints periodically while the request is queued, and moves it to a better one. */
  #scheduleComparison(attempt: EntryAttempt): void {
    const {request, agent} = attempt;
    if (!this.#options.policy.movesRequests || request.moveCount >= MAX_MOVES) return;
    this.#options.clock.schedule(COMPARE_INTERVAL_MS, () => {
      if (attempt.startedAtMs !== undefined || attempt.hasEnded) return;
      const candidate = this.#endpointSelector.findBetterEndpoint(
        agent.name,
        this.#createCriteria(request),
      );
      if (candidate === undefined) this.#scheduleComparison(attempt);
      else {
        this.#afterNetworkDelay(() => {
          this.#move(attempt, candidate);
        });
      }
    });
  }

  #move(attempt: EntryAttempt, candidate: Candidate): void {
    const {request, agent, tracked} = attempt;
    if (agent.withdraw(request.arrival.id) !== 'never-started') return;
    attempt.hasEnded = true;
    this.#afterNetworkDelay(() => {
      tracked[Symbol.dispose]();
      request.moveCount += 1;
      this.#sendTo(request, candidate);
    });
  }

  #observeToken(attempt: EntryAttempt, number: number): void {
    const {clock} = this.#options;
    const {request, tracked, startedAtMs = clock.now()} = attempt;
    const now = clock.now();
    if (number === 1) {
      const {name} = request.arrival.requestClass;
      tracked.observeFirstToken(this.#baseline.observeRatio(name, now - startedAtMs));
    } else tracked.observeInterToken(now - attempt.lastTokenAtMs);
    attempt.lastTokenAtMs = now;
  }

  /** Retries at another endpoint if the request has not run, otherwise fails it. */
  #retry(attempt: EntryAttempt, failure: Failure): void {
    const {request, agent, tracked} = attempt;
    attempt.hasEnded = true;
    tracked[Symbol.dispose]();
    request.ran = combineRan(request.ran, failure.ran);
    const canMove = failure.ran !== 'yes' && request.record.tokens === 0;
    if (!this.#options.policy.movesRequests || !canMove || !this.#retryBudget.takeRetry()) {
      this.#fail(request, failure);
      return;
    }
    request.excluded.add(agent.name);
    this.#send(request, failure);
  }

  #finish(attempt: EntryAttempt): void {
    const {request, tracked} = attempt;
    const {arrival, record, release} = request;
    attempt.hasEnded = true;
    tracked[Symbol.dispose]();
    release();
    this.#retryBudget.recordSuccess();
    this.#options.checker.onFinished(arrival);
    record.onFinished();
  }

  #fail({arrival, record, release, ran}: RequestState, cause: Failure): void {
    release();
    // The failure covers all attempts: one that may have run outweighs a later refusal.
    const failure = {...cause, ran: combineRan(ran, cause.ran)};
    this.#options.checker.onFailed(arrival, failure);
    if (failure.ran === 'no') record.onRefused();
    else record.onFailed();
  }

  /** Delivers an agent's load report to this entry after the network delay and the report lag. */
  #deliverLoad({agent, tracked}: EntryAttempt): void {
    const {policy, reportLagMs, clock, networkMs} = this.#options;
    if (!policy.usesLoads) return;
    const load: Load = agent.load();
    // A request sent after this time cannot have reached the agent before the report.
    const reportedAtMs = Math.max(tracked.sentAtMs, clock.now() - networkMs);
    clock.schedule(networkMs + reportLagMs(agent.name), () => {
      this.#endpointSelector.observe(agent.name, load, reportedAtMs);
    });
  }

  #afterNetworkDelay(action: () => void): void {
    this.#options.clock.schedule(this.#options.networkMs, action);
  }
}

function agentLostFailure(agent: AgentModel, tokens: number): Failure {
  const message = `${agent.name} was lost`;
  if (tokens > 0) return {code: 'answer_incomplete', message, ran: 'yes'};
  return {...refusal('endpoint_unreachable', message), ran: 'unknown'};
}
