/** An entry: account limits, choice of endpoint and moves, without HTTP. */
import {
  type AccountLimits,
  type Candidate,
  EndpointChoice,
  RetryBudget,
} from '@marigoldfold/coordination';
import {type Failure, type Instance, type Load, refusal} from '@marigoldfold/protocol';
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
  readonly release: () => void;
}

const MODEL = 'model';

/** The entry. */
export class EntryModel {
  readonly #options: EntryModelOptions;
  readonly #choice: EndpointChoice;
  readonly #retryBudget = new RetryBudget();
  #turn = 0;

  constructor(options: EntryModelOptions) {
    this.#options = options;
    const {clock, random, name, configuration, instances} = options;
    this.#choice = new EndpointChoice({clock, random, self: name});
    this.#choice.update(configuration, instances);
  }

  /** Takes a request from a caller. */
  accept(arrival: Arrival): void {
    const record = this.#options.measures.open(arrival);
    const admitted = this.#admit(arrival);
    const release = () => {
      if (admitted.isOk()) admitted.value?.[Symbol.dispose]();
    };
    const carried: Carried = {arrival, record, excluded: new Set(), release};
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
    const {name} = chosen.value.instance;
    const agent = this.#options.agents.get(name);
    if (agent === undefined) throw new Error(`no agent ${name}`);
    this.#options.checker.note(carried.arrival.id, `${this.#options.name}: sent to ${name}`);
    this.#later(() => {
      this.#submit(carried, agent);
    });
  }

  #choose({arrival, excluded}: Carried): Result<Candidate, Failure> {
    const {requestClass} = arrival;
    const {configuration} = this.#options;
    const state = configuration.get('class', requestClass.name);
    const set = configuration.get('endpointSet', requestClass.endpointSet);
    if (state === undefined || set === undefined) throw new Error('an unknown class');
    const target =
      set.service === undefined
        ? ({kind: 'model', model: MODEL} as const)
        : ({kind: 'service', service: set.service} as const);
    const demand = {requestClass: state, tier: requestClass.tier, target, excluded};
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

  #submit(carried: Carried, agent: AgentModel): void {
    const {arrival, record} = carried;
    const {clock, networkMs, checker} = this.#options;
    if (!agent.isUp) {
      this.#later(() => {
        this.#choice.bar(agent.name);
        this.#retry(carried, agent, unreachable(agent));
      });
      return;
    }
    const submitted = agent.submit(arrival, {
      onToken: (number) => {
        checker.onToken(arrival, number);
        record.onToken(clock.now() + networkMs);
        if (number < arrival.outputTokens) return;
        this.#report(agent);
        this.#later(() => {
          this.#finish(carried);
        });
      },
      onRefused: (failure) => {
        this.#report(agent);
        this.#later(() => {
          this.#retry(carried, agent, failure);
        });
      },
      onLost: () => {
        this.#later(() => {
          this.#choice.bar(agent.name);
          this.#retry(carried, agent, lost(agent, record.tokens));
        });
      },
    });
    this.#report(agent);
    if (submitted.isOk()) return;
    const failure = submitted.error;
    this.#later(() => {
      this.#retry(carried, agent, failure);
    });
  }

  /** Tries another endpoint when no work was done, or fails. */
  #retry(carried: Carried, agent: AgentModel, failure: Failure): void {
    const isMovable = failure.ran !== 'yes' && carried.record.tokens === 0;
    if (!this.#options.policy.moves || !isMovable || !this.#retryBudget.spend()) {
      this.#fail(carried, failure);
      return;
    }
    carried.excluded.add(agent.name);
    this.#send(carried, failure);
  }

  #finish({arrival, record, release}: Carried): void {
    release();
    this.#retryBudget.earn();
    this.#options.checker.onFinished(arrival);
    record.onFinished();
  }

  #fail({arrival, record, release}: Carried, failure: Failure): void {
    release();
    this.#options.checker.onFailed(arrival, failure);
    if (failure.ran === 'no') record.onRefused();
    else record.onFailed();
  }

  /** Carries the load of an agent to this entry. */
  #report(agent: AgentModel): void {
    const {policy, reportLagMs, clock, networkMs} = this.#options;
    if (!policy.usesLoads) return;
    const load: Load = agent.load();
    clock.schedule(networkMs + reportLagMs(agent.name), () => {
      this.#choice.observe(agent.name, load);
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
