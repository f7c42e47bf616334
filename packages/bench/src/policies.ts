/** The policies that an experiment compares. */
import type {QueueTuning} from '@marigoldfold/agent';
import type {SelectionMechanisms} from '@marigoldfold/coordination';

/** Names of the policies. */
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

/** Name of a policy. */
export type PolicyName = (typeof policyNames)[number];

/** How the simulated system decides. */
export interface Policy {
  readonly name: PolicyName;
  /** The queue of an agent: the product's, or first come first served without limits. */
  readonly queue: 'product' | 'first-come';
  /** How an entry chooses: the product's way, or each endpoint in turn. */
  readonly choice: 'product' | 'round-robin';
  /** Whether entries learn from the loads that agents report. */
  readonly usesLoads: boolean;
  /** Whether a request that was refused without work, or that waits, goes to another endpoint. */
  readonly moves: boolean;
  /** Whether account limits apply. */
  readonly limitsAccounts: boolean;
  /** Whether the engine is told the priority of a request. */
  readonly setsPriority: boolean;
  /** Whether tiers have guaranteed shares. */
  readonly guaranteesShares: boolean;
  /** Mechanisms of the product's choice that are switched off. */
  readonly mechanisms: Partial<SelectionMechanisms>;
  /** Parameters of the product's queue that differ from the usual ones. */
  readonly tuning: Partial<QueueTuning>;
}

const product: Omit<Policy, 'name'> = {
  queue: 'product',
  choice: 'product',
  usesLoads: true,
  moves: true,
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
    choice: 'round-robin',
    usesLoads: false,
    moves: false,
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
  'without-moves': {...product, moves: false},
  'without-subset-state': {...product, usesLoads: false, mechanisms: {state: false}},
  'without-trial-traffic': {...product, mechanisms: {trialTraffic: false}},
};

/** The policy of a name. */
export function findPolicy(name: PolicyName): Policy {
  return {name, ...policies[name]};
}
