/** Runs the cells of the matrix and checks what must hold. */
import {originalRequestId} from '@marigoldfold/protocol';
import type {RoutedEnd} from '@marigoldfold/entry';
import {flushPromises} from '@marigoldfold/runtime';
import type {Cell, Expectation, Scenario} from './cells.js';
import {type Injection, Injector} from './faults.js';
import {NaiveSystem} from './naive.js';
import {type Order, World} from './world.js';

/** A cell that can occur. */
export type RunnableCell = Extract<Cell, {expectation: Expectation}>;

/** What a run showed. */
export interface Verdict {
  /** Whether the faults were put in. */
  readonly wasReached: boolean;
  /** What did not hold. */
  readonly violations: readonly string[];
}

/** One request of a run and what its caller was told. */
export interface Told {
  readonly id: string;
  readonly order: Order;
  readonly text: string;
  /** Undefined when the caller or the entry has gone before the end. */
  readonly end: RoutedEnd | undefined;
  readonly hasEntryEnded: boolean;
  readonly hasLeft: boolean;
}

const STEP_MS = 5000;
const RUN_LIMIT_MS = 600_000;
const REST_MS = 120_000;
const LEAVES_AFTER_MS = 3;
/** Seeds that are tried until one leads to the step. */
const MAX_SEEDS = 30;

/** Runs one cell, with the first seed that leads to its step. */
export async function runCell(cell: RunnableCell): Promise<Verdict> {
  const scenarios = cell.step.scenario === undefined ? [] : [cell.step.scenario];
  for (let seed = 1; seed <= MAX_SEEDS; seed += 1) {
    const injection = {fault: cell.fault, fits: cell.step.fits};
    const baseline = cell.step.baseline ?? [];
    const verdict = await run([...baseline, injection], [injection], scenarios, seed, [
      cell.expectation,
    ]);
    if (verdict.wasReached) return verdict;
  }
  return {wasReached: false, violations: []};
}

/** Runs two cells at once; the second may be out of reach because of the first. */
export async function runPair(first: RunnableCell, second: RunnableCell): Promise<Verdict> {
  const injections = [first, second].map(({fault, step}) => ({fault, fits: step.fits}));
  const baseline = [first, second].flatMap(({step}) => step.baseline ?? []);
  const scenarios = [first, second].flatMap(({step}) => step.scenario ?? []);
  return run([...baseline, ...injections], injections, scenarios, 1, ['told']);
}

async function run(
  all: readonly Injection[],
  tested: readonly Injection[],
  scenarios: readonly Scenario[],
  seed: number,
  expectations: readonly Expectation[],
): Promise<Verdict> {
  const injector = new Injector(all);
  const world = new World(injector, seed);
  const {told, violations} = await runWorld(world, usualLoad(scenarios), scenarios);
  for (const expectation of expectations) violations.push(...findUnmet(told, expectation));
  return {wasReached: tested.every((injection) => injector.wasUsed(injection)), violations};
}

/** A request of a run. */
export interface Start {
  readonly atMs: number;
  readonly order: Order;
  readonly leavesAfterMs?: number;
}

/** Runs a load to its end, and gives what callers were told and what did not hold. */
export async function runWorld(
  world: World,
  starts: readonly Start[],
  scenarios: readonly Scenario[],
): Promise<{readonly told: readonly Told[]; readonly violations: string[]}> {
  const told: Told[] = [];
  for (const start of starts) {
    world.clock.schedule(start.atMs, () => {
      void call(world, start).then((line) => told.push(line));
    });
  }
  if (scenarios.includes('drain')) {
    for (const slot of world.slots) {
      if (slot.name.endsWith('-1')) world.clock.schedule(1, () => void slot.drain());
    }
  }
  while (told.length < starts.length && world.clock.now() < RUN_LIMIT_MS) {
    await world.clock.advance(STEP_MS);
  }
  const left = starts.length - told.length;
  const violations = left === 0 ? [] : [`${left} requests did not end`];
  await world.clock.advance(REST_MS);
  violations.push(...findUntruths(world, told), ...findLeaks(world));
  return {told, violations};
}

const SECOND_MS = 1000;
const MINUTE_MS = 60_000;

function usualLoad(scenarios: readonly Scenario[]): readonly Start[] {
  const generation = (atMs: number): Start => ({
    atMs,
    order: {kind: 'generation', key: '', isRepeat: false},
  });
  const posting = (atMs: number, key: string, isRepeat = false): Start => ({
    atMs,
    order: {kind: 'call', key, isRepeat},
  });
  const starts = [
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
    starts.push({...generation(0), leavesAfterMs: LEAVES_AFTER_MS});
  }
  if (scenarios.includes('caller-leaves-call')) {
    starts.push({...posting(0, 'left'), leavesAfterMs: LEAVES_AFTER_MS});
  }
  return starts;
}

async function call(world: World, {order, leavesAfterMs}: Start): Promise<Told> {
  const controller = new AbortController();
  if (leavesAfterMs !== undefined) {
    world.clock.schedule(leavesAfterMs, () => {
      controller.abort();
    });
  }
  const {id, host, answer} = world.send(order, controller.signal);
  let text = '';
  const read = async (): Promise<RoutedEnd> => {
    while (true) {
      const next = await answer.next();
      if (next.done === true) return next.value;
      if (next.value.kind === 'chunk') text += next.value.data;
    }
  };
  const ended = new Promise<undefined>((resolve) => {
    host.ended.addEventListener('abort', () => {
      resolve(undefined);
    });
  });
  const end = await Promise.race([read(), ended]);
  await flushPromises();
  const hasLeft = controller.signal.aborted;
  return {id, order, text, end, hasEntryEnded: !host.isAlive, hasLeft};
}

/** What callers were told that is not so. */
export function findUntruths(world: World, told: readonly Told[]): string[] {
  const found: string[] = [];
  const runIds = new Set<string>();
  for (const {begun} of world.engines) for (const id of begun) runIds.add(originalRequestId(id));
  const postings = new Map<string, number>();
  for (const {account, requestId} of world.ledger.ledger.postings) {
    runIds.add(originalRequestId(requestId));
    postings.set(account, (postings.get(account) ?? 0) + 1);
  }
  for (const [key, count] of postings) {
    if (count > 1) found.push(`the call with key ${key} ran ${count} times`);
  }
  for (const line of told) {
    const problem = findUntruth(line, runIds, postings);
    if (problem !== undefined) found.push(`${line.id} (${line.order.kind}): ${problem}`);
  }
  return found;
}

function findUntruth(
  {id, order, text, end}: Told,
  runIds: ReadonlySet<string>,
  postings: ReadonlyMap<string, number>,
): string | undefined {
  if (end === undefined) return undefined;
  if (end.kind === 'whole') {
    if (text !== new NaiveSystem().run(id, order)) return `the answer is ${JSON.stringify(text)}`;
    if (order.kind === 'call' && !postings.has(order.key)) return 'answered, but never run';
    return undefined;
  }
  const {ran} = end.failure;
  if (ran === 'no' && runIds.has(id)) return `told "no" (${end.failure.code}), but it was run`;
  if (ran === 'yes' && !runIds.has(id) && !postings.has(order.key)) {
    return `told "yes" (${end.failure.code}), but it was not run`;
  }
  return undefined;
}

/** What is left in agents and engines when everything should be over. */
function findLeaks(world: World): string[] {
  const found: string[] = [];
  for (const slot of world.slots) {
    const count = slot.host() === undefined ? 0 : slot.life.worker.activeCount;
    if (count > 0) found.push(`${slot.name} still holds ${count} requests`);
  }
  for (const [index, engine] of world.engines.entries()) {
    if (engine.generationCount > 0) found.push(`engine ${index + 1} still holds generations`);
  }
  return found;
}

function findUnmet(told: readonly Told[], expectation: Expectation): string[] {
  if (expectation === 'told') return [];
  const found: string[] = [];
  for (const {id, order, end, hasEntryEnded, hasLeft} of told) {
    if (hasLeft || end?.kind === 'whole') continue;
    if (end === undefined && hasEntryEnded && expectation === 'cut') continue;
    const what = end === undefined ? 'no answer' : `${end.failure.code}, ${end.failure.ran}`;
    found.push(`${id} (${order.kind}): ${what} in place of its whole answer`);
  }
  return found;
}
