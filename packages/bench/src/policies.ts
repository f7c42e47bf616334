/** The policies that an experiment compares. */
import type {QueueTuning} from '@marigoldfold/agent';
import type {SelectionMechanisms} from '@marigoldfold/coordination';

/** Names of the policies, as experiment files use them. */
export const policyNames = [
  'marigoldfold',
  'naive',
  'without-account-limits',
  'without-adaptive-window',
  'without-early-refusal',
  'without-long-work-share',
  'without-minimum-shares',
  'without-moves',
  'without-preemption',
  'without-subset-state',
  'without-trial-traffic',
] as const;

/** One of `policyNames`. */
export type PolicyName = (typeof policyNames)[number];

/** Mechanisms of entries, agents and queues that a simulation enables. */
export interface Policy {
  readonly name: PolicyName;
  /** Queue of an agent: the product's, or first-come first-served without a capacity limit. */
  readonly queue: 'product' | 'first-come';
  /** Endpoint selection of an entry: the product's, or round robin. */
  readonly selection: 'product' | 'round-robin';
  /** Whether entries use the load reports of agents. */
  readonly usesLoads: boolean;
  /** Whether a queued request, or one refused without having run, can go to another endpoint. */
  readonly movesRequests: boolean;
  /** Whether account limits apply. */
  readonly limitsAccounts: boolean;
  /** Whether requests are passed to the engine with their priority. */
  readonly setsPriority: boolean;
  /** Whether tiers have guaranteed shares. */
  readonly guaranteesShares: boolean;
  /** Overrides of the product's endpoint selection mechanisms. */
  readonly mechanisms: Partial<SelectionMechanisms>;
  /** Overrides of the default parameters of the product's queue. */
  readonly tuning: Partial<QueueTuning>;
}

const product: Omit<Policy, 'name'> = {
  queue: 'product',
  selection: 'product',
  usesLoads: true,
  movesRequests: true,
  limitsAccounts: true,
  setsPriority: true,
  guaranteesShares: true,
  mechanisms: {},
  tuning: {},
};

const policies: Readonly<Record<PolicyName, Omit<Policy, 'name'>>> = {
  marigoldfold: product,
  naive: {
    queue: 'first-come',
    selection: 'round-robin',
    usesLoads: false,
    movesRequests: false,
    limitsAccounts: false,
    setsPriority: false,
    guaranteesShares: false,
    mechanisms: {},
    tuning: {},
  },
  'without-account-limits': {...product, limitsAccounts: false},
  'without-adaptive-window': {...product, tuning: {adaptsWindow: false}},
  'without-early-refusal': {...product, tuning: {refusesEarly: false}},
  'without-long-work-share': {...product, tuning: {longWorkShare: 1}},
  'without-minimum-shares': {...product, guaranteesShares: false},
  'without-preemption': {...product, tuning: {preempts: false}},
  'without-moves': {...product, movesRequests: false},
  'without-subset-state': {...product, usesLoads: false, mechanisms: {state: false}},
  'without-trial-traffic': {...product, mechanisms: {trialTraffic: false}},
};

/** Looks up a policy by its name. */
export function findPolicy(name: PolicyName): Policy {
  return {name, ...policies[name]};
}
