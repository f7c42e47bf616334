/** The fault matrix as data: for each step and fault, the expected outcome or the reason why the fault cannot occur. */
import {type MatrixFault, faults, type Injection, type InterceptedMessage} from './faults.js';

/** Expected outcome of the requests of a cell, in addition to the invariants. */
export type Expectation =
  /** Every request gets its complete answer, unless its caller disconnects. */
  | 'whole'
  /** A request may fail, if the failure reports correctly whether it ran. */
  | 'told'
  /** Requests at an entry that exits get no answer; all others get a complete answer. */
  | 'cut';

/** A message in the processing of a request; `name` and `text` appear on the page of the matrix. */
export interface RequestStep {
  readonly name: string;
  readonly text: string;
  /** Processes, services and lists that the step involves. */
  readonly parties: readonly ('entry' | 'agent' | 'endpoint' | 'store' | 'list')[];
  readonly matches: (message: InterceptedMessage) => boolean;
  /** Faults that cause the step to occur. */
  readonly setupFaults?: readonly Injection[];
  readonly scenario?: Scenario;
  /** Expectations that differ from the default, which is `cut` for a crash of the entry and `whole` otherwise. */
  readonly expectations?: Readonly<Partial<Record<MatrixFault, Expectation>>>;
  /** Faults that cannot occur although all parties are involved, with the reason. */
  readonly impossible?: Readonly<Partial<Record<MatrixFault, string>>>;
}

/** A disconnecting caller or a drain, in addition to the default load. */
export type Scenario = 'caller-leaves-generation' | 'caller-leaves-call' | 'drain';

type MessageKind = InterceptedMessage['kind'];

const matchesPoint =
  (point: InterceptedMessage['point'], kind: MessageKind) => (message: InterceptedMessage) =>
    message.point === point && message.kind === kind;

const NO_REQUEST_REASON = 'nobody asks for a single chunk, so there is no request to lose';

/** Steps between entry and agent. */
function entrySteps(kind: MessageKind): readonly RequestStep[] {
  const parties = ['entry', 'agent'] as const;
  // An agent that crashes after claiming a call leaves a claim without an outcome.
  const claimedExpectations = kind === 'call' ? ({'agent-crash': 'told'} as const) : {};
  const isFirstAttempt = (message: InterceptedMessage) =>
    matchesPoint('request', kind)(message) && message.attempt === 1;
  const brokenStream: Injection = {fault: 'late', matches: matchesPoint('stream', kind)};
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
      matches: matchesPoint('stream', kind),
      // A generation is not restarted on another agent once a chunk has been sent.
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
      impossible: {'request-lost': NO_REQUEST_REASON},
    },
    {
      name: `resume (${kind})`,
      text: 'the entry asks for the rest of an answer',
      parties,
      matches: matchesPoint('resume', kind),
      setupFaults: [brokenStream],
      ...(kind === 'generation' ? {expectations: {'agent-crash': 'told'}} : {}),
    },
    {
      name: `withdrawal (${kind})`,
      text: 'the entry takes a request back that was lost on its way',
      parties,
      matches: matchesPoint('withdrawal', kind),
      setupFaults: [{fault: 'request-lost', matches: isFirstAttempt}],
    },
    {
      name: `move (${kind})`,
      text: 'the entry sends a refused request to another agent',
      parties: [...parties, 'list'],
      matches: (message) => matchesPoint('request', kind)(message) && message.attempt === 2,
      setupFaults: [{fault: 'refusal', matches: isFirstAttempt}],
      // Requests that ran on the removed instance are lost.
      expectations: {...claimedExpectations, 'stale-list': 'told'},
    },
    {
      name: `cancel (${kind})`,
      text: 'the entry tells the agent that the caller has gone',
      parties,
      matches: matchesPoint('cancel', kind),
      scenario: kind === 'generation' ? 'caller-leaves-generation' : 'caller-leaves-call',
      expectations: {'agent-crash': 'told'},
    },
    {
      name: `drain (${kind})`,
      text: 'a request meets an agent that is leaving',
      parties: [...parties, 'list'],
      matches: (message) => matchesPoint('request', kind)(message) && message.isLeaving,
      scenario: 'drain',
      expectations: {'agent-crash': 'told', 'stale-list': 'told'},
    },
  ];
}

const endpointSteps: readonly RequestStep[] = [
  {
    name: 'engine begin',
    text: 'the agent hands a generation to its engine',
    parties: ['agent', 'endpoint'],
    matches: matchesPoint('engine-begin', 'generation'),
  },
  {
    name: 'engine stream',
    text: 'the engine sends a token',
    parties: ['agent', 'endpoint'],
    matches: matchesPoint('engine-stream', 'generation'),
    expectations: {'endpoint-crash': 'told', 'endpoint-pause': 'told'},
    impossible: {'request-lost': NO_REQUEST_REASON},
  },
  {
    name: 'call',
    text: 'the agent sends a claimed call to its service',
    parties: ['agent', 'endpoint'],
    matches: matchesPoint('call', 'call'),
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

const storeSteps: readonly RequestStep[] = [
  {
    name: 'claim',
    text: 'the agent claims a call in the key-value service',
    parties: ['agent', 'store'],
    matches: (message) => matchesPoint('claim', 'call')(message) && !message.isRepeat,
    expectations: claimExpectations,
  },
  {
    name: 'record',
    text: 'the agent records the outcome of a call',
    parties: ['agent', 'store'],
    matches: matchesPoint('record', 'call'),
    // Other calls in flight at the agent lose their outcomes too, and later calls fail during the outage.
    expectations: {'agent-crash': 'told', 'cut-off': 'told', 'store-down': 'told'},
  },
  {
    name: 'release',
    text: 'the agent releases the claim of a call that was not sent',
    parties: ['agent', 'store'],
    matches: matchesPoint('release', 'call'),
    setupFaults: [{fault: 'cut-off', matches: matchesPoint('call', 'call')}],
    expectations: Object.fromEntries(faults.map((fault) => [fault, 'told'])),
  },
  {
    name: 'repeat',
    text: 'an agent meets the claim of an earlier attempt',
    parties: ['agent', 'store'],
    matches: (message) => matchesPoint('claim', 'call')(message) && message.isRepeat,
    expectations: {'cut-off': 'told', 'store-down': 'told'},
  },
];

/** All steps of the matrix, in row order. */
export const steps: readonly RequestStep[] = [
  ...entrySteps('generation'),
  ...entrySteps('call'),
  ...endpointSteps,
  ...storeSteps,
];

/** Steps that the matrix does not test yet; the generated page lists them. */
export const uncoveredSteps = ['grant', 'ticket submit', 'approve', 'spread', 'snapshot', 'order'];

/** A combination of step and fault, with the expectation or the reason why it cannot occur. */
export type Cell =
  | {readonly step: RequestStep; readonly fault: MatrixFault; readonly expectation: Expectation}
  | {readonly step: RequestStep; readonly fault: MatrixFault; readonly impossible: string};

/** Process, service or list that must be involved in a step so that the fault can occur. */
const requiredParty: Readonly<Partial<Record<MatrixFault, RequestStep['parties'][number]>>> = {
  'agent-crash': 'agent',
  'agent-pause': 'agent',
  'entry-crash': 'entry',
  'entry-pause': 'entry',
  'endpoint-crash': 'endpoint',
  'endpoint-pause': 'endpoint',
  'stale-list': 'list',
  'store-down': 'store',
};

const absenceReasons: Readonly<Record<RequestStep['parties'][number], string>> = {
  agent: 'no agent takes part in the step',
  entry: 'no entry takes part in the step',
  endpoint: 'no endpoint takes part in the step',
  list: 'no list of instances is read in the step',
  store: 'the step makes no call to the key-value service',
};

/** Determines the expected outcome of a fault at a step, or why the fault cannot occur. */
export function createCell(step: RequestStep, fault: MatrixFault): Cell {
  const party = requiredParty[fault];
  if (party !== undefined && !step.parties.includes(party)) {
    return {step, fault, impossible: absenceReasons[party]};
  }
  const impossible = step.impossible?.[fault];
  if (impossible !== undefined) return {step, fault, impossible};
  const defaultExpectation = fault === 'entry-crash' ? 'cut' : 'whole';
  return {step, fault, expectation: step.expectations?.[fault] ?? defaultExpectation};
}

/** All cells of the matrix, ordered by step, then by fault. */
export const cells: readonly Cell[] = steps.flatMap((step) =>
  faults.map((fault) => createCell(step, fault)),
);
