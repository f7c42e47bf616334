/** The fault matrix as data: for each step and fault what must hold, or why the cell cannot occur. */
import {type Fault, faults, type Injection, type Passage} from './faults.js';

/** What must hold for the requests of a cell, beside what always holds. */
export type Expectation =
  /** Every request gets its whole answer, unless its caller left or its entry ended. */
  | 'whole'
  /** A request may fail, with a word that is true. */
  | 'told'
  /** Requests at the entry that ended get no answer; all others are whole. */
  | 'cut';

/** A step in the life of a request. */
export interface Step {
  readonly name: string;
  readonly text: string;
  /** Who takes part beside the message itself. */
  readonly parties: readonly ('entry' | 'agent' | 'endpoint' | 'store' | 'list')[];
  readonly fits: (passage: Passage) => boolean;
  /** Faults that make the step happen. */
  readonly baseline?: readonly Injection[];
  readonly scenario?: Scenario;
  /** Faults whose outcome differs from `whole`. */
  readonly expectations?: Readonly<Partial<Record<Fault, Expectation>>>;
  /** Cells that cannot occur for a reason of their own. */
  readonly impossible?: Readonly<Partial<Record<Fault, string>>>;
}

/** What happens beside the usual load. */
export type Scenario = 'caller-leaves-generation' | 'caller-leaves-call' | 'drain';

type Kind = Passage['kind'];

const at = (point: Passage['point'], kind: Kind) => (passage: Passage) =>
  passage.point === point && passage.kind === kind;

const NOBODY_ASKS = 'nobody asks for a single chunk, so there is no request to lose';

/** Steps that end in a message from entry to agent. */
function entrySteps(kind: Kind): readonly Step[] {
  const parties = ['entry', 'agent'] as const;
  // An agent that crashes after it has claimed a call leaves a claim without an outcome.
  const claimed = kind === 'call' ? ({'agent-crash': 'told'} as const) : {};
  const first = (passage: Passage) => at('request', kind)(passage) && passage.attempt === 1;
  const broken: Injection = {fault: 'late', fits: at('stream', kind)};
  return [
    {
      name: `request (${kind})`,
      text: 'the entry sends the request to an agent',
      parties: [...parties, 'list'],
      fits: first,
      expectations: claimed,
    },
    {
      name: `stream (${kind})`,
      text: 'the agent sends a chunk of the answer',
      parties,
      fits: at('stream', kind),
      // A generation of which a chunk has gone out is not begun again elsewhere.
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
      impossible: {'request-lost': NOBODY_ASKS},
    },
    {
      name: `resume (${kind})`,
      text: 'the entry asks for the rest of an answer',
      parties,
      fits: at('resume', kind),
      baseline: [broken],
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
    },
    {
      name: `withdrawal (${kind})`,
      text: 'the entry takes a request back that was lost on its way',
      parties,
      fits: at('withdrawal', kind),
      baseline: [{fault: 'request-lost', fits: first}],
    },
    {
      name: `move (${kind})`,
      text: 'the entry sends a refused request to another agent',
      parties: [...parties, 'list'],
      fits: (passage) => at('request', kind)(passage) && passage.attempt === 2,
      baseline: [{fault: 'refusal', fits: first}],
      // What ran at the instance that was taken away is lost with it.
      expectations: {...claimed, 'stale-list': 'told'},
    },
    {
      name: `cancel (${kind})`,
      text: 'the entry tells the agent that the caller has gone',
      parties,
      fits: at('cancel', kind),
      scenario: kind === 'generation' ? 'caller-leaves-generation' : 'caller-leaves-call',
      expectations: {'agent-crash': 'told'},
    },
    {
      name: `drain (${kind})`,
      text: 'a request meets an agent that is leaving',
      parties: [...parties, 'list'],
      fits: (passage) => at('request', kind)(passage) && passage.isLeaving,
      scenario: 'drain',
      expectations: {'agent-crash': 'told', 'stale-list': 'told'},
    },
  ];
}

const endpointSteps: readonly Step[] = [
  {
    name: 'engine begin',
    text: 'the agent hands a generation to its engine',
    parties: ['agent', 'endpoint'],
    fits: at('engine-begin', 'generation'),
  },
  {
    name: 'engine stream',
    text: 'the engine sends a token',
    parties: ['agent', 'endpoint'],
    fits: at('engine-stream', 'generation'),
    expectations: {'endpoint-crash': 'told', 'endpoint-pause': 'told'},
    impossible: {'request-lost': NOBODY_ASKS},
  },
  {
    name: 'call',
    text: 'the agent sends a claimed call to its service',
    parties: ['agent', 'endpoint'],
    fits: at('call', 'call'),
    expectations: {
      'agent-crash': 'told',
      'endpoint-crash': 'told',
      'endpoint-pause': 'told',
      'request-lost': 'told',
      'answer-lost': 'told',
      'cut-off': 'told',
      late: 'told',
    },
    impossible: {
      duplicate: 'one connection delivers a request once, and a claimed call is never sent again',
    },
  },
];

const claimExpectations = {
  'agent-crash': 'told',
  'agent-pause': 'told',
  'cut-off': 'told',
  'store-down': 'told',
} as const;

const storeSteps: readonly Step[] = [
  {
    name: 'claim',
    text: 'the agent claims a call in the key-value service',
    parties: ['agent', 'store'],
    fits: (passage) => at('claim', 'call')(passage) && !passage.isRepeat,
    expectations: claimExpectations,
  },
  {
    name: 'record',
    text: 'the agent records the outcome of a call',
    parties: ['agent', 'store'],
    fits: at('record', 'call'),
    // Another call that the agent had sent has no outcome either; others meet the service down.
    expectations: {'agent-crash': 'told', 'cut-off': 'told', 'store-down': 'told'},
  },
  {
    name: 'release',
    text: 'the agent releases the claim of a call that was not sent',
    parties: ['agent', 'store'],
    fits: at('release', 'call'),
    baseline: [{fault: 'cut-off', fits: at('call', 'call')}],
    expectations: Object.fromEntries(faults.map((fault) => [fault, 'told'])),
  },
  {
    name: 'repeat',
    text: 'an agent meets the claim of an earlier attempt',
    parties: ['agent', 'store'],
    fits: (passage) => at('claim', 'call')(passage) && passage.isRepeat,
    expectations: {'cut-off': 'told', 'store-down': 'told'},
  },
];

/** All steps that the matrix covers. */
export const steps: readonly Step[] = [
  ...entrySteps('generation'),
  ...entrySteps('call'),
  ...endpointSteps,
  ...storeSteps,
];

/** Steps that the matrix does not cover yet. */
export const uncoveredSteps = ['grant', 'ticket submit', 'approve', 'spread', 'snapshot', 'order'];

/** A cell of the matrix. */
export type Cell =
  | {readonly step: Step; readonly fault: Fault; readonly expectation: Expectation}
  | {readonly step: Step; readonly fault: Fault; readonly impossible: string};

/** What a fault needs for it to occur. */
const partyOf: Readonly<Partial<Record<Fault, Step['parties'][number]>>> = {
  'agent-crash': 'agent',
  'agent-pause': 'agent',
  'entry-crash': 'entry',
  'entry-pause': 'entry',
  'endpoint-crash': 'endpoint',
  'endpoint-pause': 'endpoint',
  'stale-list': 'list',
  'store-down': 'store',
};

const absence: Readonly<Record<Step['parties'][number], string>> = {
  agent: 'no agent takes part in the step',
  entry: 'no entry takes part in the step',
  endpoint: 'no endpoint takes part in the step',
  list: 'no list of instances is read in the step',
  store: 'the step makes no call to the key-value service',
};

/** The cell of a step and a fault. */
export function cellOf(step: Step, fault: Fault): Cell {
  const party = partyOf[fault];
  if (party !== undefined && !step.parties.includes(party)) {
    return {step, fault, impossible: absence[party]};
  }
  const impossible = step.impossible?.[fault];
  if (impossible !== undefined) return {step, fault, impossible};
  const usual = fault === 'entry-crash' ? 'cut' : 'whole';
  return {step, fault, expectation: step.expectations?.[fault] ?? usual};
}

/** All cells, by step and fault. */
export const cells: readonly Cell[] = steps.flatMap((step) =>
  faults.map((fault) => cellOf(step, fault)),
);
