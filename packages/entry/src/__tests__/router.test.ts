import {EndpointSelector, RetryBudget} from '@marigoldfold/coordination';
import type {Failure, Instance, Task} from '@marigoldfold/protocol';
import {seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {Configuration, type RequestClass} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {
  createEndEvent,
  generationTask,
  type AgentScript,
  createLoadReport,
  type ConnectionScript,
  ScriptedAgentClient,
  createWorkRequest,
} from '../__fixtures__/scriptedAgentClient.js';
import type {RoutedEnd} from '../attempt.js';
import {Router} from '../router.js';

const requestClass: RequestClass = {
  tier: 0,
  endpointSets: ['set'],
  guaranteedShare: 0,
  typicalOutputTokens: 1,
};
const unkeyedCall: Task = {
  kind: 'call',
  service: 'ledger',
  method: 'POST',
  path: '/postings',
  headers: {},
  body: '',
};
const keyedCall: Task = {...unkeyedCall, idempotencyKey: 'k'};

function instanceOf(name: string): Instance {
  return {
    name,
    role: 'agent',
    address: `127.0.0.1:${name.length}`,
    failureDomain: 'a',
    region: 'r',
    endpoint: name,
    state: 'live',
  };
}

/** Routes one request with scripted agents; the scripts apply in the order in which agents are chosen. */
async function route(task: Task, scripts: readonly AgentScript[]) {
  const clock = new VirtualClock();
  const endpointSelector = new EndpointSelector({clock, random: seededRandom(1), self: 'entry'});
  const names = scripts.map((_, index) => `agent-${index}`);
  const set = {type: 'engine', models: ['m'], slots: 1};
  const service = {type: 'service', service: 'ledger', slots: 1};
  const configuration = Configuration.empty.apply(
    [
      {kind: 'endpointSet', name: 'set', state: task.kind === 'generation' ? set : service},
      ...names.map((name) => ({kind: 'endpoint' as const, name, state: {set: 'set'}})),
    ],
    1,
  );
  endpointSelector.update(configuration, names.map(instanceOf));
  const agentClients: ScriptedAgentClient[] = [];
  const byName = new Map<string, ScriptedAgentClient>();
  const router = new Router({
    clock,
    logger: silentLogger,
    endpointSelector,
    retryBudget: new RetryBudget(),
    agentClientFor: ({name}) => {
      const known = byName.get(name);
      if (known !== undefined) return known;
      const script = scripts[agentClients.length];
      if (script === undefined) throw new Error('more agents than scripts');
      const agentClient = new ScriptedAgentClient(script);
      agentClients.push(agentClient);
      byName.set(name, agentClient);
      return agentClient;
    },
  });
  const target =
    task.kind === 'generation'
      ? ({kind: 'model', model: 'm'} as const)
      : ({kind: 'service', service: 'ledger'} as const);
  const answer = router.route(
    {work: createWorkRequest(task), criteria: {requestClass, tier: 0, target}},
    new AbortController().signal,
  );
  let end: RoutedEnd | undefined;
  const consumer = (async () => {
    while (end === undefined) {
      const next = await answer.next();
      if (next.done === true) end = next.value;
    }
  })();
  await clock.advance(120_000);
  await consumer;
  if (end === undefined) throw new Error('the request did not end');
  return {end, agentClients};
}

function refusedWith(code: Failure['code'], ran: Failure['ran']): ConnectionScript {
  return {kind: 'refused', failure: {code, message: '', ran}, load: createLoadReport()};
}

const success: AgentScript = {start: [createEndEvent(0)]};
const lost: AgentScript = {start: []};

describe('a request whose agent becomes unreachable', () => {
  it('is retried at another agent and cancelled at the first', async () => {
    const {end, agentClients} = await route(generationTask, [lost, success]);
    expect(end.kind).toBe('whole');
    expect(agentClients[0]?.cancelled).toEqual(['e.1']);
  });

  it('is not reported as not run because a second agent refused it', async () => {
    const {end} = await route(generationTask, [lost, {start: refusedWith('leaving', 'no')}]);
    expect(end).toMatchObject({kind: 'failed', failure: {code: 'leaving', ran: 'unknown'}});
  });

  it('is not reported as not run when a second attempt is refused because of the claim of the first', async () => {
    const second = {start: refusedWith('store_unavailable', 'no')};
    const {end} = await route(keyedCall, [lost, second]);
    expect(end).toMatchObject({kind: 'failed', failure: {ran: 'unknown'}});
  });

  it('is not retried when it must not run twice and has no key', async () => {
    const {end, agentClients} = await route(unkeyedCall, [lost, success]);
    expect(end).toMatchObject({kind: 'failed', failure: {ran: 'unknown'}});
    expect(agentClients).toHaveLength(1);
  });
});

describe('a request that was refused', () => {
  it('by all agents is reported as not run', async () => {
    const refused = {start: refusedWith('leaving', 'no')};
    const {end} = await route(generationTask, [refused, refused]);
    expect(end).toMatchObject({kind: 'failed', failure: {code: 'leaving', ran: 'no'}});
  });

  it('by a leaving agent is retried at another', async () => {
    const {end} = await route(keyedCall, [{start: refusedWith('leaving', 'no')}, success]);
    expect(end.kind).toBe('whole');
  });

  it('because of its content is not retried', async () => {
    const {agentClients} = await route(generationTask, [
      {start: refusedWith('bad_request', 'no')},
      success,
    ]);
    expect(agentClients).toHaveLength(1);
  });
});
