/** Runs cells of the fault matrix and checks the invariants and the expectation of each cell. */
import {originalRequestId} from '@marigoldfold/protocol';
import type {RoutedEnd} from '@marigoldfold/entry';
import {flushPromises} from '@marigoldfold/runtime';
import type {Cell, Expectation, Scenario} from './cells.js';
import {type Injection, Injector} from './faults.js';
import {ReferenceSystem} from './referenceSystem.js';
import {type SimulatedRequest, SimulatedSystem} from './simulatedSystem.js';

/** A cell whose fault can occur at its step. */
export type RunnableCell = Extract<Cell, {expectation: Expectation}>;

/** Result of running one cell or pair of cells. */
export interface MatrixResult {
  /** Whether all tested faults were injected. */
  readonly wasReached: boolean;
  /** Violated invariants and unmet expectations, as messages. */
  readonly violations: readonly string[];
}

/** A request of a run and the answer that its caller received. */
export interface RecordedOutcome {
  readonly id: string;
  readonly request: SimulatedRequest;
  readonly text: string;
  /** Undefined if the caller disconnected or the entry exited before the end. */
  readonly end: RoutedEnd | undefined;
  readonly hasEntryExited: boolean;
  readonly hasDisconnected: boolean;
}

const ADVANCE_STEP_MS = 5000;
const RUN_LIMIT_MS = 600_000;
const SETTLE_MS = 120_000;
const DISCONNECT_AFTER_MS = 3;
/** Maximum number of seeds to try until a run reaches the step. */
const MAX_SEEDS = 30;

/** Runs one cell with the first seed that reaches its step. */
export async function runCell(cell: RunnableCell): Promise<MatrixResult> {
  const scenarios = cell.step.scenario === undefined ? [] : [cell.step.scenario];
  for (let seed = 1; seed <= MAX_SEEDS; seed += 1) {
    const injection = {fault: cell.fault, matches: cell.step.matches};
    const setupFaults = cell.step.setupFaults ?? [];
    const result = await runInjections([...setupFaults, injection], [injection], scenarios, seed, [
      cell.expectation,
    ]);
    if (result.wasReached) return result;
  }
  return {wasReached: false, violations: []};
}

/** Runs two cells in one simulation; the first fault may prevent the second from being reached. */
export async function runPair(first: RunnableCell, second: RunnableCell): Promise<MatrixResult> {
  const injections = [first, second].map(({fault, step}) => ({fault, matches: step.matches}));
  const setupFaults = [first, second].flatMap(({step}) => step.setupFaults ?? []);
  const scenarios = [first, second].flatMap(({step}) => step.scenario ?? []);
  return runInjections([...setupFaults, ...injections], injections, scenarios, 1, ['told']);
}

async function runInjections(
  injections: readonly Injection[],
  testedInjections: readonly Injection[],
  scenarios: readonly Scenario[],
  seed: number,
  expectations: readonly Expectation[],
): Promise<MatrixResult> {
  const injector = new Injector(injections);
  const system = new SimulatedSystem(injector, seed);
  const {outcomes, violations} = await runSystem(system, createDefaultLoad(scenarios), scenarios);
  for (const expectation of expectations)
    violations.push(...findUnmetExpectations(outcomes, expectation));
  return {
    wasReached: testedInjections.every((injection) => injector.wasInjected(injection)),
    violations,
  };
}

/** A request that the driver sends at a given time. */
export interface PlannedRequest {
  readonly atMs: number;
  readonly request: SimulatedRequest;
  readonly disconnectAfterMs?: number;
}

/**
 * Runs a load until all requests have ended, or the time limit has passed, and returns the outcomes and the violated
 * invariants.
 */
export async function runSystem(
  system: SimulatedSystem,
  plannedRequests: readonly PlannedRequest[],
  scenarios: readonly Scenario[],
): Promise<{readonly outcomes: readonly RecordedOutcome[]; readonly violations: string[]}> {
  const outcomes: RecordedOutcome[] = [];
  for (const planned of plannedRequests) {
    system.clock.schedule(planned.atMs, () => {
      void sendRequest(system, planned).then((outcome) => outcomes.push(outcome));
    });
  }
  if (scenarios.includes('drain')) {
    for (const agent of system.agents) {
      if (agent.name.endsWith('-1')) system.clock.schedule(1, () => void agent.drain());
    }
  }
  while (outcomes.length < plannedRequests.length && system.clock.now() < RUN_LIMIT_MS) {
    await system.clock.advance(ADVANCE_STEP_MS);
  }
  const unfinishedCount = plannedRequests.length - outcomes.length;
  const violations = unfinishedCount === 0 ? [] : [`${unfinishedCount} requests did not end`];
  await system.clock.advance(SETTLE_MS);
  violations.push(...findFalseReports(system, outcomes), ...findLeaks(system));
  return {outcomes, violations};
}

const SECOND_MS = 1000;
const MINUTE_MS = 60_000;

function createDefaultLoad(scenarios: readonly Scenario[]): readonly PlannedRequest[] {
  const generation = (atMs: number): PlannedRequest => ({
    atMs,
    request: {kind: 'generation', key: '', isRepeat: false},
  });
  const posting = (atMs: number, key: string, isRepeat = false): PlannedRequest => ({
    atMs,
    request: {kind: 'call', key, isRepeat},
  });
  const plannedRequests = [
    generation(0),
    generation(0),
    generation(0),
    generation(0),
    posting(0, 'one'),
    posting(0, 'two'),
    posting(SECOND_MS, 'one', true),
    generation(2 * SECOND_MS),
    posting(3 * SECOND_MS, 'three'),
    generation(3 * SECOND_MS),
    posting(3 * MINUTE_MS, 'two', true),
  ];
  if (scenarios.includes('caller-leaves-generation')) {
    plannedRequests.push({...generation(0), disconnectAfterMs: DISCONNECT_AFTER_MS});
  }
  if (scenarios.includes('caller-leaves-call')) {
    plannedRequests.push({...posting(0, 'left'), disconnectAfterMs: DISCONNECT_AFTER_MS});
  }
  return plannedRequests;
}

async function sendRequest(
  system: SimulatedSystem,
  {request, disconnectAfterMs}: PlannedRequest,
): Promise<RecordedOutcome> {
  const controller = new AbortController();
  if (disconnectAfterMs !== undefined) {
    system.clock.schedule(disconnectAfterMs, () => {
      controller.abort();
    });
  }
  const {id, process, answer} = system.send(request, controller.signal);
  let text = '';
  const read = async (): Promise<RoutedEnd> => {
    while (true) {
      const next = await answer.next();
      if (next.done === true) return next.value;
      if (next.value.kind === 'chunk') text += next.value.data;
    }
  };
  const exited = new Promise<undefined>((resolve) => {
    process.exitSignal.addEventListener('abort', () => {
      resolve(undefined);
    });
  });
  const end = await Promise.race([read(), exited]);
  await flushPromises();
  const hasDisconnected = controller.signal.aborted;
  return {id, request, text, end, hasEntryExited: !process.isAlive, hasDisconnected};
}

/**
 * Finds answers and failures that contradict what the engines and the ledger ran, and calls that ran more than once.
 */
export function findFalseReports(
  system: SimulatedSystem,
  outcomes: readonly RecordedOutcome[],
): string[] {
  const violations: string[] = [];
  const runIds = new Set<string>();
  for (const {startedIds} of system.engines)
    for (const id of startedIds) runIds.add(originalRequestId(id));
  const postings = new Map<string, number>();
  for (const {account, requestId} of system.ledger.ledger.postings) {
    runIds.add(originalRequestId(requestId));
    postings.set(account, (postings.get(account) ?? 0) + 1);
  }
  for (const [key, count] of postings) {
    if (count > 1) violations.push(`the call with key ${key} ran ${count} times`);
  }
  for (const outcome of outcomes) {
    const problem = findFalseReport(outcome, runIds, postings);
    if (problem !== undefined)
      violations.push(`${outcome.id} (${outcome.request.kind}): ${problem}`);
  }
  return violations;
}

function findFalseReport(
  {id, request, text, end}: RecordedOutcome,
  runIds: ReadonlySet<string>,
  postings: ReadonlyMap<string, number>,
): string | undefined {
  if (end === undefined) return undefined;
  if (end.kind === 'whole') {
    if (text !== new ReferenceSystem().run(id, request))
      return `wrong answer ${JSON.stringify(text)}`;
    if (request.kind === 'call' && !postings.has(request.key))
      return 'answered, but it did not run';
    return undefined;
  }
  const {ran} = end.failure;
  if (ran === 'no' && runIds.has(id)) return `reported ran "no" (${end.failure.code}), but it ran`;
  if (ran === 'yes' && !runIds.has(id) && !postings.has(request.key)) {
    return `reported ran "yes" (${end.failure.code}), but it did not run`;
  }
  return undefined;
}

/** Finds requests that agents and engines still hold after all requests have ended. */
function findLeaks(system: SimulatedSystem): string[] {
  const violations: string[] = [];
  for (const agent of system.agents) {
    const count = agent.runningProcess() === undefined ? 0 : agent.current.worker.activeCount;
    if (count > 0) violations.push(`${agent.name} still holds ${count} requests`);
  }
  for (const [index, engine] of system.engines.entries()) {
    if (engine.generationCount > 0) violations.push(`engine ${index + 1} still holds generations`);
  }
  return violations;
}

function findUnmetExpectations(
  outcomes: readonly RecordedOutcome[],
  expectation: Expectation,
): string[] {
  if (expectation === 'told') return [];
  const violations: string[] = [];
  for (const {id, request, end, hasEntryExited, hasDisconnected} of outcomes) {
    if (hasDisconnected || end?.kind === 'whole') continue;
    if (end === undefined && hasEntryExited && expectation === 'cut') continue;
    const actual = end === undefined ? 'no answer' : `${end.failure.code}, ${end.failure.ran}`;
    violations.push(`${id} (${request.kind}): ${actual} instead of the complete answer`);
  }
  return violations;
}
