import {EndpointSelector, RetryBudget} from '@marigoldfold/coordination';
import {refusal, type Task} from '@marigoldfold/protocol';
import {repeat, seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {Configuration, objectSchemas} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {
  createChunkEvents,
  createEndEvent,
  generationTask,
  type AgentScript,
  createLoadReport,
  type QueuedScript,
  ScriptedAgentClient,
  createWorkRequest,
} from '../__fixtures__/scriptedAgentClient.js';
import type {RoutedEnd} from '../attempt.js';
import {Router} from '../router.js';

const requestClass = objectSchemas.class.parse({tier: 0, endpointSets: ['set']});
const busy = {...createLoadReport(), running: [1], waitMs: [3000]};
const withdrawn = [
  {kind: 'failed', failure: refusal('withdrawn', 'withdrawn'), load: busy},
] as const;
const queued: QueuedScript = {queuedLoad: busy, afterWithdrawal: withdrawn};

/** Routes a request with two agents; the agent without the request reports every 100 ms that it is idle. */
async function route(scripts: readonly AgentScript[], task: Task = generationTask) {
  const clock = new VirtualClock();
  const endpointSelector = new EndpointSelector({clock, random: seededRandom(1), self: 'entry'});
  const set =
    task.kind === 'generation'
      ? {type: 'engine', models: ['m'], slots: 1}
      : {type: 'service', service: 'ledger', slots: 1};
  const configuration = Configuration.empty.apply(
    [
      {kind: 'endpointSet', name: 'set', state: set},
      {kind: 'endpoint', name: 'a', state: {set: 'set'}},
      {kind: 'endpoint', name: 'b', state: {set: 'set'}},
    ],
    1,
  );
  const instances = ['a', 'b'].map((name) => ({
    name,
    role: 'agent' as const,
    address: `${name}:1`,
    failureDomain: 'd',
    region: 'r',
    endpoint: name,
    state: 'live' as const,
  }));
  endpointSelector.update(configuration, instances);
  const agentClients = new Map<string, ScriptedAgentClient>();
  let current = '';
  const router = new Router({
    clock,
    logger: silentLogger,
    endpointSelector,
    retryBudget: new RetryBudget(),
    agentClientFor: ({name}) => {
      const known = agentClients.get(name);
      current = name;
      if (known !== undefined) return known;
      const agentClient = new ScriptedAgentClient(scripts[agentClients.size] ?? {start: []});
      agentClients.set(name, agentClient);
      return agentClient;
    },
  });
  const reports = repeat(
    clock,
    () => 100,
    () => {
      for (const {name} of instances)
        if (name !== current) endpointSelector.observe(name, createLoadReport());
    },
  );
  const target =
    task.kind === 'generation'
      ? ({kind: 'model', model: 'm'} as const)
      : ({kind: 'service', service: 'ledger', affinityKey: 'k'} as const);
  const answer = router.route(
    {work: createWorkRequest(task), criteria: {requestClass, tier: 0, target}},
    new AbortController().signal,
  );
  let end: RoutedEnd | undefined;
  void (async () => {
    while (end === undefined) {
      const next = await answer.next();
      if (next.done === true) end = next.value;
    }
  })();
  await clock.advance(5000);
  reports[Symbol.dispose]();
  return {end, agentClients: [...agentClients.values()]};
}

describe('a queued request', () => {
  it('is withdrawn and sent to an agent with a clearly shorter wait, under a new id', async () => {
    const {end, agentClients} = await route([{start: queued}, {start: [createEndEvent(0)]}]);
    expect(end).toEqual({kind: 'whole'});
    expect(agentClients.map(({withdrawals}) => withdrawals)).toEqual([1, 0]);
    expect(agentClients.map(({started}) => started.map(({id}) => id))).toEqual([
      ['e.1'],
      ['e.1~1'],
    ]);
  });

  it('is not moved when it started before the withdrawal arrived', async () => {
    const started: QueuedScript = {
      queuedLoad: busy,
      afterWithdrawal: [{kind: 'started'}, ...createChunkEvents(1, 2), createEndEvent(2)],
    };
    const {end, agentClients} = await route([{start: started}, {start: [createEndEvent(0)]}]);
    expect(end).toEqual({kind: 'whole'});
    expect(agentClients).toHaveLength(1);
    expect(agentClients[0]?.withdrawals).toBe(1);
  });

  it('is not moved again after the maximum number of moves', async () => {
    const {end, agentClients} = await route([
      {start: queued, secondStart: queued},
      {start: queued, secondStart: queued},
    ]);
    expect(end).toBeUndefined();
    expect(agentClients.map(({withdrawals}) => withdrawals)).toEqual([1, 1]);
    expect(agentClients[0]?.started.map(({id}) => id)).toEqual(['e.1', 'e.1~2']);
  });

  it('is not moved from the endpoint that its idempotency key selects', async () => {
    const call: Task = {
      kind: 'call',
      service: 'ledger',
      method: 'POST',
      path: '/postings',
      headers: {},
      body: '',
      idempotencyKey: 'k',
    };
    const {end, agentClients} = await route([{start: queued}], call);
    expect(end).toBeUndefined();
    expect(agentClients.map(({withdrawals}) => withdrawals)).toEqual([0]);
  });
});
