import {seededRandom, VirtualClock} from '@marigoldfold/runtime';
import type {Load} from '@marigoldfold/protocol';
import {describe, expect, it} from 'vitest';
import {
  agents,
  criteria,
  createEngineConfiguration,
  load,
  requestClass,
} from '../__fixtures__/fleet.js';
import {EndpointSelector, type EndpointSelectorOptions} from '../endpointSelector.js';

const FULL_LOAD = load({running: [0, 0, 0, 4], waitMs: [0, 0, 0, 3000]});

function create(count: number, options: Partial<EndpointSelectorOptions> = {}) {
  const clock = new VirtualClock();
  const endpointSelector = new EndpointSelector({
    clock,
    random: seededRandom(7),
    self: 'entry-1',
    ...options,
  });
  endpointSelector.update(createEngineConfiguration(count), agents(count));
  return {clock, endpointSelector};
}

function countChoices(
  endpointSelector: EndpointSelector,
  times: number,
  tier = 3,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let turn = 0; turn < times; turn += 1) {
    const targeted = criteria(tier, {requestClass: requestClass(tier, 1800)});
    const {name} = endpointSelector.choose(targeted)._unsafeUnwrap().instance;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

describe('a burst between two load reports', () => {
  it('is not sent entirely to the endpoint that was least loaded', () => {
    const {endpointSelector} = create(8);
    for (const {name} of agents(8)) endpointSelector.observe(name, load({running: [0, 0, 0, 2]}));
    endpointSelector.observe('agent-3', load());
    const counts = new Map<string, number>();
    for (let turn = 0; turn < 32; turn += 1) {
      const chosen = endpointSelector.choose(criteria(3))._unsafeUnwrap();
      endpointSelector.trackRequest(chosen, 3);
      const {name} = chosen.instance;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    // An even distribution would be 4 requests each; the idle endpoint may get a few more.
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(8);
    expect(counts.size).toBe(8);
  });
});

describe('endpoint exclusion', () => {
  it('applies to endpoints that are leaving, in backoff or already tried', () => {
    const {endpointSelector} = create(4);
    endpointSelector.observe('agent-1', load({isLeaving: true}));
    endpointSelector.recordFailure('agent-2');
    const excluded = new Set(['agent-3']);
    for (let turn = 0; turn < 50; turn += 1) {
      const chosen = endpointSelector.choose(criteria(0, {excluded}))._unsafeUnwrap();
      expect(chosen.instance.name).toBe('agent-4');
    }
  });

  it('of all endpoints refuses with the time until the first backoff ends', () => {
    const {endpointSelector} = create(2);
    endpointSelector.recordFailure('agent-1');
    endpointSelector.recordFailure('agent-2');
    const refused = endpointSelector.choose(criteria(0))._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'no_endpoint', ran: 'no'});
    expect(refused.retryAfterMs).toBeGreaterThanOrEqual(500);
    expect(refused.retryAfterMs).toBeLessThanOrEqual(1000);
  });

  it('ends with a new incarnation', async () => {
    const {clock, endpointSelector} = create(1);
    endpointSelector.observe('agent-1', load({incarnation: 'a-1'}));
    endpointSelector.recordFailure('agent-1');
    expect(endpointSelector.choose(criteria(0)).isErr()).toBe(true);
    await clock.advance(10);
    endpointSelector.observe('agent-1', load({incarnation: 'b-1'}));
    expect(endpointSelector.choose(criteria(0)).isOk()).toBe(true);
  });
});

describe('a slowed endpoint', () => {
  it('gets only trial traffic, never of the top tier, and recovers', async () => {
    const {clock, endpointSelector} = create(8);
    const report = (slow: number) => {
      for (const {name} of agents(8)) {
        endpointSelector.observe(name, load({interTokenMs: name === 'agent-5' ? slow : 20}));
      }
    };
    report(100);
    expect(countChoices(endpointSelector, 2000, 0).get('agent-5') ?? 0).toBe(0);
    const trials = countChoices(endpointSelector, 4000).get('agent-5') ?? 0;
    expect(trials).toBeGreaterThan(0);
    expect(trials).toBeLessThan(4000 * 0.02);
    const untargeted = Array.from({length: 400}, () =>
      endpointSelector.choose(criteria(6))._unsafeUnwrap(),
    );
    expect(untargeted.some(({endpoint}) => endpoint === 'engine-5')).toBe(true);
    report(20);
    await clock.advance(12_000);
    report(20);
    endpointSelector.choose(criteria(0));
    expect(countChoices(endpointSelector, 4000, 0).get('agent-5') ?? 0).toBeGreaterThan(0);
  });
});

describe('early refusal', () => {
  it('states the time after which the target can be met again', () => {
    const {endpointSelector} = create(3);
    for (const {name} of agents(3)) endpointSelector.observe(name, FULL_LOAD);
    endpointSelector.observe('agent-2', {...FULL_LOAD, waitMs: [0, 0, 0, 2600]});
    const refused = endpointSelector.choose(criteria(3, {requestClass: requestClass(3, 1800)}));
    expect(refused._unsafeUnwrapErr()).toMatchObject({
      code: 'target_unreachable',
      ran: 'no',
      retryAfterMs: 800,
    });
  });

  it('does not apply to the top tier while lower-tier work can be preempted', () => {
    const {endpointSelector} = create(2);
    endpointSelector.observe('agent-1', load({running: [4], waitMs: [9000]}));
    endpointSelector.observe('agent-2', load({running: [3, 0, 1], waitMs: [9500]}));
    const top = criteria(0, {requestClass: requestClass(0, 1800)});
    expect(endpointSelector.choose(top)._unsafeUnwrap().instance.name).toBe('agent-2');
    endpointSelector.observe('agent-2', load({running: [4], waitMs: [9500]}));
    expect(endpointSelector.choose(top)._unsafeUnwrapErr().code).toBe('target_unreachable');
  });

  it('is not based on old reports', async () => {
    const {clock, endpointSelector} = create(2);
    for (const {name} of agents(2)) endpointSelector.observe(name, FULL_LOAD);
    const targeted = criteria(3, {requestClass: requestClass(3, 1800)});
    expect(endpointSelector.choose(targeted).isErr()).toBe(true);
    await clock.advance(1500);
    expect(endpointSelector.choose(targeted).isOk()).toBe(true);
  });

  it('does not apply to a class without a target', () => {
    const {endpointSelector} = create(2);
    for (const {name} of agents(2)) endpointSelector.observe(name, FULL_LOAD);
    expect(endpointSelector.choose(criteria(3)).isOk()).toBe(true);
  });
});

describe('prefix affinity', () => {
  const prefixKey = 'block-1';

  it('sends prompts with the same prefix to one endpoint while the wait there is short enough', () => {
    const {endpointSelector} = create(8);
    for (const {name} of agents(8)) endpointSelector.observe(name, load());
    const target = endpointSelector.choose(criteria(3, {prefixKey}))._unsafeUnwrap().instance.name;
    for (let turn = 0; turn < 50; turn += 1) {
      expect(endpointSelector.choose(criteria(3, {prefixKey}))._unsafeUnwrap().instance.name).toBe(
        target,
      );
    }
    endpointSelector.observe(target, FULL_LOAD);
    expect(
      endpointSelector.choose(criteria(3, {prefixKey}))._unsafeUnwrap().instance.name,
    ).not.toBe(target);
  });
});

describe('a probe', () => {
  function createWithProbe(respond: () => Promise<Load | undefined>) {
    let probes = 0;
    const created = create(3, {
      probe: () => {
        probes += 1;
        return respond();
      },
    });
    return {...created, probes: () => probes};
  }

  it('is shared by concurrent requests and sent only when the report is stale', async () => {
    const {clock, endpointSelector, probes} = createWithProbe(() => Promise.resolve(load()));
    await Promise.all(
      Array.from({length: 20}, () => endpointSelector.chooseWithProbes(criteria(3))),
    );
    expect(probes()).toBe(3);
    await endpointSelector.chooseWithProbes(criteria(3));
    expect(probes()).toBe(3);
    await clock.advance(5000);
    await endpointSelector.chooseWithProbes(criteria(3));
    expect(probes()).toBe(6);
  });

  it('without a response delays a selection only up to the timeout', async () => {
    const {clock, endpointSelector} = createWithProbe(() => new Promise(() => undefined));
    let isChosen = false;
    const chosen = endpointSelector.chooseWithProbes(criteria(3)).then(() => {
      isChosen = true;
    });
    await clock.advance(49);
    expect(isChosen).toBe(false);
    await clock.advance(1);
    await chosen;
    expect(isChosen).toBe(true);
  });

  it('detects that an endpoint is leaving', async () => {
    const {endpointSelector} = createWithProbe(() => Promise.resolve(load({isLeaving: true})));
    const refused = await endpointSelector.chooseWithProbes(criteria(3));
    expect(refused._unsafeUnwrapErr().code).toBe('no_endpoint');
  });
});

describe('a queued request', () => {
  it('is moved only to an endpoint with a reported, clearly shorter wait', () => {
    const {endpointSelector} = create(3);
    endpointSelector.observe('agent-1', FULL_LOAD);
    expect(endpointSelector.findBetterEndpoint('agent-1', criteria(3))).toBeUndefined();
    endpointSelector.observe('agent-2', {...FULL_LOAD, waitMs: [0, 0, 0, 2900]});
    expect(endpointSelector.findBetterEndpoint('agent-1', criteria(3))).toBeUndefined();
    endpointSelector.observe('agent-3', {...FULL_LOAD, waitMs: [0, 0, 0, 200]});
    expect(endpointSelector.findBetterEndpoint('agent-1', criteria(3))?.instance.name).toBe(
      'agent-3',
    );
    expect(endpointSelector.findBetterEndpoint('agent-1', criteria(0))).toBeUndefined();
  });
});
