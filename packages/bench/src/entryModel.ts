/** An entry: account limits, choice of endpoint and moves, without HTTP. */
import {
  type AccountLimits,
  type Candidate,
  ClassBaseline,
  type Demand,
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
import {type AgentModel, unreachable} from './agentModel.js';
import type {Arrival} from './arrivals.js';
import type {InvariantChecker} from './invariants.js';
import type {Measures, RequestRecord} from './measures.js';
import type {Policy} from './policies.js';

/** What an entry model needs. */
export interface EntryModelOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: Policy;
  readonly configuration: Configuration;
  readonly instances: readonly Instance[];
  readonly agents: ReadonlyMap<string, AgentModel>;
  readonly networkMs: number;
  /** Milliseconds that the loads of an agent are late now. */
  readonly reportLagMs: (agent: string) => number;
  readonly limits: AccountLimits;
  readonly measures: Measures;
  readonly checker: InvariantChecker;
}

interface Carried {
  readonly arrival: Arrival;
  readonly record: RequestRecord;
  readonly excluded: Set<string>;
  /** Whether an earlier attempt may have run. */
  ran: Ran;
  readonly release: () => void;
  moves: number;
}

/** One try of a request at one agent. */
interface Try {
  readonly carried: Carried;
  readonly agent: AgentModel;
  readonly sent: TrackedRequest;
  startedAtMs: number | undefined;
  lastTokenAtMs: number;
  isOver: boolean;
}

const MODEL = 'model';
/** As the product's entry does it. */
const COMPARE_INTERVAL_MS = 200;
const MAX_MOVES = 2;

/** The entry. */
export class EntryModel {
  readonly #options: EntryModelOptions;
  readonly #choice: EndpointSelector;
  readonly #retryBudget = new RetryBudget();
  readonly #baseline = new ClassBaseline();
  #turn = 0;

  constructor(options: EntryModelOptions) {
    this.#options = options;
    const {clock, random, name, configuration, instances, policy} = options;
    const {mechanisms} = policy;
    this.#choice = new EndpointSelector({clock, random, self: name, mechanisms});
    this.#choice.update(configuration, instances);
  }

  /** Takes a request from a caller. */
  accept(arrival: Arrival): void {
    const record = this.#options.measures.open(arrival);
    const admitted = this.#admit(arrival);
    const release = () => {
      if (admitted.isOk()) admitted.value?.[Symbol.dispose]();
    };
    const carried: Carried = {
      arrival,
      record,
      excluded: new Set(),
      ran: 'no',
      release,
      moves: 0,
    };
    if (admitted.isErr()) this.#fail(carried, admitted.error);
    else this.#send(carried, undefined);
  }

  #admit({account: name, requestClass}: Arrival): Result<Disposable | undefined, Failure> {
    const {policy, limits, configuration} = this.#options;
    const account: Account | undefined = configuration.get('account', name);
    if (!policy.limitsAccounts || account === undefined) return ok(undefined);
    // With one entry in the ring, no home has to be asked.
    return limits.admitNow(name, account, requestClass.tier) ?? ok(undefined);
  }

  #send(carried: Carried, before: Failure | undefined): void {
    const chosen = this.#choose(carried);
    if (chosen.isErr()) {
      this.#fail(carried, before ?? chosen.error);
      return;
    }
    this.#sendTo(carried, chosen.value);
  }

  #sendTo(carried: Carried, candidate: Candidate): void {
    const {name} = candidate.instance;
    const agent = this.#options.agents.get(name);
    if (agent === undefined) throw new Error(`no agent ${name}`);
    const {id, requestClass} = carried.arrival;
    this.#options.checker.note(id, `${this.#options.name}: sent to ${name}`);
    const sent = this.#choice.trackRequest(candidate, requestClass.tier);
    const attempt = {
      carried,
      agent,
      sent,
      startedAtMs: undefined,
      lastTokenAtMs: 0,
      isOver: false,
    };
    this.#later(() => {
      this.#submit(attempt);
    });
  }

  #demand({arrival, excluded}: Carried): Demand {
    const {requestClass} = arrival;
    const {configuration} = this.#options;
    const state = configuration.get('class', requestClass.name);
    const set = configuration.get('endpointSet', requestClass.endpointSet);
    if (state === undefined || set === undefined) throw new Error('an unknown class');
    const target =
      set.service === undefined
        ? ({kind: 'model', model: MODEL} as const)
        : ({kind: 'service', service: set.service} as const);
    return {requestClass: state, tier: requestClass.tier, target, excluded};
  }

  #choose(carried: Carried): Result<Candidate, Failure> {
    const {requestClass} = carried.arrival;
    const demand = this.#demand(carried);
    if (this.#options.policy.choice === 'product') return this.#choice.choose(demand);
    // Each endpoint in turn: all others are left out of the choice.
    const names = [...this.#options.agents.keys()].filter((name) =>
      name.startsWith(`${requestClass.endpointSet}-`),
    );
    this.#turn += 1;
    const only = names[this.#turn % names.length];
    return this.#choice.choose({
      ...demand,
      excluded: new Set(names.filter((name) => name !== only)),
    });
  }

  #submit(attempt: Try): void {
    const {carried, agent} = attempt;
    const {arrival, record} = carried;
    const {clock, networkMs, checker} = this.#options;
    if (!agent.isUp) {
      this.#later(() => {
        this.#choice.recordFailure(agent.name);
        this.#retry(attempt, unreachable(agent));
      });
      return;
    }
    const submitted = agent.submit(arrival, {
      onStarted: () => {
        attempt.startedAtMs = clock.now();
        this.#later(() => {
          attempt.sent.recordStart();
        });
      },
      onToken: (number) => {
        checker.onToken(arrival, number);
        record.onToken(clock.now() + networkMs);
        this.#later(() => {
          this.#measure(attempt, number);
        });
        if (number < arrival.outputTokens) return;
        this.#report(attempt);
        this.#later(() => {
          this.#finish(attempt);
        });
      },
      onRefused: (failure) => {
        this.#report(attempt);
        this.#later(() => {
          this.#retry(attempt, failure);
        });
      },
      onLost: () => {
        this.#later(() => {
          this.#choice.recordFailure(agent.name);
          this.#retry(attempt, lost(agent, record.tokens));
        });
      },
    });
    this.#report(attempt);
    if (submitted.isErr()) {
      const failure = submitted.error;
      this.#later(() => {
        this.#retry(attempt, failure);
      });
    } else if (attempt.startedAtMs === undefined) this.#compareLater(attempt);
  }

  /** Looks for a better place while the request waits. */
  #compareLater(attempt: Try): void {
    const {carried, agent} = attempt;
    if (!this.#options.policy.moves || carried.moves >= MAX_MOVES) return;
    this.#options.clock.schedule(COMPARE_INTERVAL_MS, () => {
      if (attempt.startedAtMs !== undefined || attempt.isOver) return;
      const better = this.#choice.findBetterEndpoint(agent.name, this.#demand(carried));
      if (better === undefined) this.#compareLater(attempt);
      else {
        this.#later(() => {
          this.#move(attempt, better);
        });
      }
    });
  }

  #move(attempt: Try, better: Candidate): void {
    const {carried, agent, sent} = attempt;
    if (agent.withdraw(carried.arrival.id) !== 'never-started') return;
    attempt.isOver = true;
    this.#later(() => {
      sent[Symbol.dispose]();
      carried.moves += 1;
      this.#sendTo(carried, better);
    });
  }

  #measure(attempt: Try, number: number): void {
    const {clock} = this.#options;
    const {carried, sent, startedAtMs = clock.now()} = attempt;
    const now = clock.now();
    if (number === 1) {
      const {name} = carried.arrival.requestClass;
      sent.observeFirstToken(this.#baseline.observeRatio(name, now - startedAtMs));
    } else sent.observeInterToken(now - attempt.lastTokenAtMs);
    attempt.lastTokenAtMs = now;
  }

  /** Tries another endpoint when no work was done, or fails. */
  #retry(attempt: Try, failure: Failure): void {
    const {carried, agent, sent} = attempt;
    attempt.isOver = true;
    sent[Symbol.dispose]();
    carried.ran = combineRan(carried.ran, failure.ran);
    const isMovable = failure.ran !== 'yes' && carried.record.tokens === 0;
    if (!this.#options.policy.moves || !isMovable || !this.#retryBudget.takeRetry()) {
      this.#fail(carried, failure);
      return;
    }
    carried.excluded.add(agent.name);
    this.#send(carried, failure);
  }

  #finish(attempt: Try): void {
    const {carried, sent} = attempt;
    const {arrival, record, release} = carried;
    attempt.isOver = true;
    sent[Symbol.dispose]();
    release();
    this.#retryBudget.recordSuccess();
    this.#options.checker.onFinished(arrival);
    record.onFinished();
  }

  #fail({arrival, record, release, ran}: Carried, cause: Failure): void {
    release();
    // The caller is told of all attempts: one that may have run outweighs a later refusal.
    const failure = {...cause, ran: combineRan(ran, cause.ran)};
    this.#options.checker.onFailed(arrival, failure);
    if (failure.ran === 'no') record.onRefused();
    else record.onFailed();
  }

  /** Carries the load of an agent to this entry. */
  #report({agent, sent}: Try): void {
    const {policy, reportLagMs, clock, networkMs} = this.#options;
    if (!policy.usesLoads) return;
    const load: Load = agent.load();
    // What was sent later than this cannot have arrived when the report was made.
    const reportedAtMs = Math.max(sent.sentAtMs, clock.now() - networkMs);
    clock.schedule(networkMs + reportLagMs(agent.name), () => {
      this.#choice.observe(agent.name, load, reportedAtMs);
    });
  }

  #later(action: () => void): void {
    this.#options.clock.schedule(this.#options.networkMs, action);
  }
}

function lost(agent: AgentModel, tokens: number): Failure {
  const message = `${agent.name} was lost`;
  if (tokens > 0) return {code: 'answer_incomplete', message, ran: 'yes'};
  return {...refusal('endpoint_unreachable', message), ran: 'unknown'};
}
