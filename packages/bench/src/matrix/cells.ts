/** The fault matrix as data: for each step and fault what must hold, or why the cell cannot occur. */
import {type Fault, faults, type Injection, type InterceptedMessage} from './faults.js';

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
  readonly matches: (message: InterceptedMessage) => boolean;
  /** Faults that make the step happen. */
  readonly setupFaults?: readonly Injection[];
  readonly scenario?: Scenario;
  /** Faults whose outcome differs from `whole`. */
  readonly expectations?: Readonly<Partial<Record<Fault, Expectation>>>;
  /** Cells that cannot occur for a reason of their own. */
  readonly impossible?: Readonly<Partial<Record<Fault, string>>>;
}

/** What happens beside the usual load. */
export type Scenario = 'caller-leaves-generation' | 'caller-leaves-call' | 'drain';

type MessageKind = InterceptedMessage['kind'];

const passesAt =
  (point: InterceptedMessage['point'], kind: MessageKind) => (message: InterceptedMessage) =>
    message.point === point && message.kind === kind;

const NO_REQUEST_REASON = 'nobody asks for a single chunk, so there is no request to lose';

/** Steps that end in a message from entry to agent. */
function entrySteps(kind: MessageKind): readonly Step[] {
  const parties = ['entry', 'agent'] as const;
  // An agent that crashes after it has claimed a call leaves a claim without an outcome.
  const claimedExpectations = kind === 'call' ? ({'agent-crash': 'told'} as const) : {};
  const isFirstAttempt = (message: InterceptedMessage) =>
    passesAt('request', kind)(message) && message.attempt === 1;
  const brokenStream: Injection = {fault: 'late', matches: passesAt('stream', kind)};
  return [
    {
      name: `request (${kind})`,
      text: 'the entry sends the request to an agent',
      parties: [...parties, 'list'],
      matches: isFirstAttempt,
      expectations: claimedExpectations,
    },
    {
      name: `stream (${kind})`,
      text: 'the agent sends a chunk of the answer',
      parties,
      matches: passesAt('stream', kind),
      // A generation of which a chunk has gone out is not begun again elsewhere.
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
      impossible: {'request-lost': NO_REQUEST_REASON},
    },
    {
      name: `resume (${kind})`,
      text: 'the entry asks for the rest of an answer',
      parties,
      matches: passesAt('resume', kind),
      setupFaults: [brokenStream],
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
    },
    {
      name: `withdrawal (${kind})`,
      text: 'the entry takes a request back that was lost on its way',
      parties,
      matches: passesAt('withdrawal', kind),
      setupFaults: [{fault: 'request-lost', matches: isFirstAttempt}],
    },
    {
      name: `move (${kind})`,
      text: 'the entry sends a refused request to another agent',
      parties: [...parties, 'list'],
      matches: (message) => passesAt('request', kind)(message) && message.attempt === 2,
      setupFaults: [{fault: 'refusal', matches: isFirstAttempt}],
      // What ran at the instance that was taken away is lost with it.
      expectations: {...claimedExpectations, 'stale-list': 'told'},
    },
    {
      name: `cancel (${kind})`,
      text: 'the entry tells the agent that the caller has gone',
      parties,
      matches: passesAt('cancel', kind),
      scenario: kind === 'generation' ? 'caller-leaves-generation' : 'caller-leaves-call',
      expectations: {'agent-crash': 'told'},
    },
    {
      name: `drain (${kind})`,
      text: 'a request meets an agent that is leaving',
      parties: [...parties, 'list'],
      matches: (message) => passesAt('request', kind)(message) && message.isLeaving,
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
    matches: passesAt('engine-begin', 'generation'),
  },
  {
    name: 'engine stream',
    text: 'the engine sends a token',
    parties: ['agent', 'endpoint'],
    matches: passesAt('engine-stream', 'generation'),
    expectations: {'endpoint-crash': 'told', 'endpoint-pause': 'told'},
    impossible: {'request-lost': NO_REQUEST_REASON},
  },
  {
    name: 'call',
    text: 'the agent sends a claimed call to its service',
    parties: ['agent', 'endpoint'],
    matches: passesAt('call', 'call'),
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
    matches: (message) => passesAt('claim', 'call')(message) && !message.isRepeat,
    expectations: claimExpectations,
  },
  {
    name: 'record',
    text: 'the agent records the outcome of a call',
    parties: ['agent', 'store'],
    matches: passesAt('record', 'call'),
    // Another call that the agent had sent has no outcome either; others meet the service down.
    expectations: {'agent-crash': 'told', 'cut-off': 'told', 'store-down': 'told'},
  },
  {
    name: 'release',
    text: 'the agent releases the claim of a call that was not sent',
    parties: ['agent', 'store'],
    matches: passesAt('release', 'call'),
    setupFaults: [{fault: 'cut-off', matches: passesAt('call', 'call')}],
    expectations: Object.fromEntries(faults.map((fault) => [fault, 'told'])),
  },
  {
    name: 'repeat',
    text: 'an agent meets the claim of an earlier attempt',
    parties: ['agent', 'store'],
    matches: (message) => passesAt('claim', 'call')(message) && message.isRepeat,
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
const requiredParty: Readonly<Partial<Record<Fault, Step['parties'][number]>>> = {
  'agent-crash': 'agent',
  'agent-pause': 'agent',
  'entry-crash': 'entry',
  'entry-pause': 'entry',
  'endpoint-crash': 'endpoint',
  'endpoint-pause': 'endpoint',
  'stale-list': 'list',
  'store-down': 'store',
};

const absenceReasons: Readonly<Record<Step['parties'][number], string>> = {
  agent: 'no agent takes part in the step',
  entry: 'no entry takes part in the step',
  endpoint: 'no endpoint takes part in the step',
  list: 'no list of instances is read in the step',
  store: 'the step makes no call to the key-value service',
};

/** The cell of a step and a fault. */
export function cellOf(step: Step, fault: Fault): Cell {
  const party = requiredParty[fault];
  if (party !== undefined && !step.parties.includes(party)) {
    return {step, fault, impossible: absenceReasons[party]};
  }
  const impossible = step.impossible?.[fault];
  if (impossible !== undefined) return {step, fault, impossible};
  const defaultExpectation = fault === 'entry-crash' ? 'cut' : 'whole';
  return {step, fault, expectation: step.expectations?.[fault] ?? defaultExpectation};
}

/** All cells, by step and fault. */
export const cells: readonly Cell[] = steps.flatMap((step) =>
  faults.map((fault) => cellOf(step, fault)),
);
