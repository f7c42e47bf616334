import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {describe, expect, test} from 'vitest';
import type {PlacementRequest, PromptSize} from '../placementRequest.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointRegistry} from '../endpointRegistry.js';
import {Placement} from '../placement.js';
import {emptyUpdate, type PeerUpdate} from '../peerMessages.js';

const engine: Engine = {slots: 48, cacheTokens: 300_000, tokensPerEvent: 3};
const noneExcluded: ReadonlySet<string> = new Set();

function createPlacement(count: number, services: Readonly<Record<string, string>> = {}) {
  const clock = new VirtualClock(1000);
  const registry = new EndpointRegistry({clock, logger: silentLogger});
  for (let number = 1; number <= count; number += 1) {
    const id = `e${number}`;
    registry.put({
      id,
      service: services[id] ?? 'model',
      address: `10.0.0.${number}:80`,
      failureDomain: 'a',
      slots: 48,
      isLeaving: false,
      startedAtMs: 1,
    });
  }
  const updates: Partial<PeerUpdate>[] = [];
  const placement = new Placement({
    clock,
    registry,
    publisher: {
      publishSent: (sent) => updates.push({sent: [sent]}),
      publishFirstEvent: (id) => updates.push({begun: [id]}),
      publishEnded: (id) => updates.push({ended: [id]}),
      publishSlowness: (id, value) => updates.push({slowness: [[id, value]]}),
      publishSpeed: (speed) => updates.push({speeds: [speed]}),
      publishUnreachable: (id) => updates.push({unreachable: [id]}),
      publishLimit: (id, {perSecond}) =>
        updates.push({limits: [[id, {perSecond: perSecond ?? null, ageMs: 0}]]}),
    },
  });
  return {clock, registry, placement, updates};
}

let sequence = 0;

function requestOf(prompt: PromptSize | undefined, service = 'model'): PlacementRequest {
  sequence += 1;
  return {
    id: `r${sequence}`,
    service,
    targetLeftMs: 600,
    patienceLeftMs: 2400,
    pauseTargetMs: (prompt?.promptTokens ?? 0) < 3000 ? 100 : 200,
    prompt,
  };
}

/** Prompt with one shared part and one part that no other prompt has. */
function promptOf(shared: string, sharedTokens: number, ownTokens: number): PromptSize {
  sequence += 1;
  const parts = [
    {id: shared, tokens: sharedTokens},
    {id: `own${sequence}`, tokens: ownTokens},
  ];
  return {parts, promptTokens: sharedTokens + ownTokens, maxOutputTokens: 50};
}

const longPrompt = (shared = 'long') => promptOf(shared, 6000, 2000);
const shortPrompt = (shared = 'short') => promptOf(shared, 200, 500);

function idOf(endpoint: Endpoint | undefined): string {
  if (endpoint === undefined) throw new Error('no endpoint was chosen');
  return endpoint.record.id;
}

// Guards against ids of requests whose tables, limited by number only, exceed the memory of the machines of all instances.
test('a request with a long id has a short one at all instances, the same in all messages', () => {
  const {placement, registry, updates} = createPlacement(1);
  const endpoint = registry.find('e1')!;
  const request = {...requestOf(longPrompt()), id: 'a'.repeat(15_000)};
  const inFlight = placement.startRequest(endpoint, request, engine);
  placement.recordEvent(endpoint, inFlight);
  placement.endRequest(endpoint, inFlight);
  const sentId = updates.find(({sent}) => sent !== undefined)!.sent![0]![0];
  expect(sentId.length).toBeLessThanOrEqual(64);
  expect(updates).toContainEqual({begun: [sentId]});
  expect(updates).toContainEqual({ended: [sentId]});

  const other = createPlacement(1);
  const sent: PeerUpdate['sent'] = [[request.id, 'e1', 100, 100, 10, 0, []]];
  other.placement.applyPeerUpdate({...emptyUpdate('i-2'), sent});
  const remote = [...other.registry.find('e1')!.remoteRequests.values()];
  expect(remote.map(({requestId}) => requestId)).toEqual([sentId]);
  other.placement.applyPeerUpdate({...emptyUpdate('i-2'), ended: [request.id]});
  expect(other.registry.find('e1')!.remoteRequests.size).toBe(0);
});

describe('the choice of an engine', () => {
  test('returns to the endpoint that has the shared part in its cache', () => {
    const {placement} = createPlacement(8);
    const request = requestOf(longPrompt());
    const first = placement.choose(request, engine, noneExcluded)!;
    placement.endRequest(first, placement.startRequest(first, request, engine));
    for (let count = 0; count < 10; count += 1) {
      expect(placement.choose(requestOf(longPrompt()), engine, noneExcluded)).toBe(first);
    }
  });

  test('is the same in processes that exchange no updates', () => {
    const chosenIds = [createPlacement(8), createPlacement(8)].map(({placement}) =>
      ['a', 'b', 'c', 'd'].map((shared) =>
        idOf(placement.choose(requestOf(longPrompt(shared)), engine, noneExcluded)),
      ),
    );
    expect(chosenIds[0]).toEqual(chosenIds[1]);
  });

  test('keeps long prompts away from short streams', () => {
    const {placement} = createPlacement(8);
    const endpointIds = new Map<string, Set<string>>([
      ['long', new Set()],
      ['short', new Set()],
    ]);
    for (let count = 0; count < 60; count += 1) {
      const isLong = count % 3 === 0;
      const prompt = isLong ? longPrompt(`l${count % 9}`) : shortPrompt(`s${count % 7}`);
      const request = requestOf(prompt);
      const endpoint = placement.choose(request, engine, noneExcluded)!;
      const inFlight = placement.startRequest(endpoint, request, engine);
      placement.recordEvent(endpoint, inFlight);
      endpointIds.get(isLong ? 'long' : 'short')?.add(idOf(endpoint));
      if (count > 20) placement.endRequest(endpoint, inFlight);
    }
    const shared = [...(endpointIds.get('long') ?? [])].filter((id) =>
      endpointIds.get('short')?.has(id),
    );
    expect(shared.length).toBeLessThanOrEqual(1);
  });

  test('prefers an idle endpoint to one with queued prompts', () => {
    const {placement} = createPlacement(2);
    const request = requestOf(longPrompt('x'));
    const first = placement.choose(request, engine, noneExcluded)!;
    for (let count = 0; count < 6; count += 1) {
      placement.startRequest(first, requestOf(promptOf(`y${count}`, 6000, 6000)), engine);
    }
    expect(placement.choose(requestOf(longPrompt('z')), engine, noneExcluded)).not.toBe(first);
  });

  test('does not count queued prompts as prefilled because time has passed', async () => {
    const {placement, clock} = createPlacement(2);
    const first = placement.choose(requestOf(longPrompt('x')), engine, noneExcluded)!;
    for (let count = 0; count < 6; count += 1) {
      placement.startRequest(first, requestOf(promptOf(`y${count}`, 6000, 6000)), engine);
    }
    await clock.advance(3000);
    expect(placement.choose(requestOf(longPrompt('z')), engine, noneExcluded)).not.toBe(first);
  });

  test('uses the updates of other instances', () => {
    const {placement, registry} = createPlacement(2);
    const first = placement.choose(requestOf(longPrompt('x')), engine, noneExcluded)!;
    const id = first.record.id;
    const sent = [1, 2, 3, 4, 5, 6].map((number): PeerUpdate['sent'][number] => [
      `o${number}`,
      id,
      12_000,
      12_000,
      50,
      200,
      [],
    ]);
    const nothing = emptyUpdate('other');
    placement.applyPeerUpdate({...nothing, sent});
    expect(placement.choose(requestOf(longPrompt('x')), engine, noneExcluded)).not.toBe(first);
    const ended = sent.map(([requestId]) => requestId);
    placement.applyPeerUpdate({...nothing, ended});
    expect(registry.find(id)?.remoteRequests.size).toBe(0);
    expect(placement.choose(requestOf(longPrompt('x')), engine, noneExcluded)).toBe(first);
  });

  test('publishes sends, first events and ends to other instances', () => {
    const {placement, updates} = createPlacement(2);
    const request = requestOf(shortPrompt());
    const endpoint = placement.choose(request, engine, noneExcluded)!;
    const inFlight = placement.startRequest(endpoint, request, engine);
    placement.recordEvent(endpoint, inFlight);
    placement.endRequest(endpoint, inFlight);
    expect(updates).toMatchObject([
      {sent: [[request.id, endpoint.record.id, 700, 700, 50, 100, [['short', 200]]]]},
      {begun: [request.id]},
      {ended: [request.id]},
    ]);
  });

  test('does not count events that alternate between early and late as slowness', async () => {
    const {placement, clock} = createPlacement(1);
    const request = requestOf(shortPrompt());
    const endpoint = placement.choose(request, engine, noneExcluded)!;
    const inFlight = placement.startRequest(endpoint, request, engine);
    for (let count = 0; count < 200; count += 1) {
      await clock.advance(count % 2 === 0 ? 12 : 26);
      placement.recordEvent(endpoint, inFlight);
    }
    expect(endpoint.slowness).toBeLessThan(1.2);
  });

  test('keeps short streams away from endpoints where long prompts arrive often', async () => {
    const {placement, clock} = createPlacement(2);
    for (let count = 0; count < 40; count += 1) {
      await clock.advance(100);
      for (const prompt of [longPrompt('l'), shortPrompt('s')]) {
        const request = requestOf(prompt);
        const endpoint = placement.choose(request, engine, noneExcluded)!;
        const inFlight = placement.startRequest(endpoint, request, engine);
        placement.recordEvent(endpoint, inFlight);
        placement.endRequest(endpoint, inFlight);
      }
    }
    const long = idOf(placement.choose(requestOf(longPrompt('l')), engine, noneExcluded));
    for (const shared of ['a', 'b', 'c', 'd', 'e', 'f']) {
      const short = idOf(placement.choose(requestOf(shortPrompt(shared)), engine, noneExcluded));
      expect(short).not.toBe(long);
    }
  });

  test('expects a prompt with a long prefill to miss its objective', () => {
    const {placement} = createPlacement(1);
    const canMeetTarget = (tokens: number) => {
      const request = requestOf(promptOf('new', 100, tokens));
      const endpoint = placement.choose(request, engine, noneExcluded)!;
      return placement.canMeetTarget(endpoint, request);
    };
    expect(canMeetTarget(4000)).toBe(true);
    expect(canMeetTarget(14_000)).toBe(false);
  });

  test('avoids a slow endpoint until the slowness report expires', async () => {
    const {placement, clock, registry} = createPlacement(2);
    const pick = () => placement.choose(requestOf(shortPrompt()), engine, noneExcluded)!;
    const request = requestOf(shortPrompt());
    const first = placement.choose(request, engine, noneExcluded)!;
    const inFlight = placement.startRequest(first, request, engine);
    placement.recordEvent(first, inFlight);
    expect(pick()).toBe(first);
    registry.find(first.record.id)?.recordSlowness(3);
    expect(pick()).not.toBe(first);
    placement.endRequest(first, inFlight);
    await clock.advance(1000);
    expect(pick()).toBe(first);
  });
});

describe('the choice of an endpoint of a plain service', () => {
  test('selects the endpoint with the fewest requests, and none in backoff', () => {
    const {placement, registry} = createPlacement(3);
    const request = requestOf(undefined);
    const chosenIds = [1, 2, 3].map(() => {
      const endpoint = placement.choose(request, undefined, noneExcluded)!;
      placement.startRequest(endpoint, request, undefined);
      return idOf(endpoint);
    });
    expect(new Set(chosenIds).size).toBe(3);
    registry.find('e2')?.backOff();
    registry.find('e3')?.backOff();
    expect(idOf(placement.choose(request, undefined, noneExcluded))).toBe('e1');
  });

  test('uses an endpoint in backoff if there is no other, but never an excluded one', () => {
    const {placement, registry} = createPlacement(2);
    for (const id of ['e1', 'e2']) registry.find(id)?.backOff();
    const request = requestOf(undefined);
    expect(idOf(placement.choose(request, undefined, new Set(['e1'])))).toBe('e2');
    expect(placement.choose(request, undefined, new Set(['e1', 'e2']))).toBeUndefined();
  });

  test('excludes an endpoint that fails more often than the others', () => {
    const {placement, registry} = createPlacement(2);
    for (let count = 0; count < 10; count += 1) registry.find('e1')?.recordResponse(true);
    for (let count = 0; count < 20; count += 1) {
      const endpoint = placement.choose(requestOf(undefined), undefined, noneExcluded)!;
      placement.startRequest(endpoint, requestOf(undefined), undefined);
      expect(idOf(endpoint)).toBe('e2');
    }
  });
});

describe('requests of a crashed instance', () => {
  test('expire although their end is not reported', async () => {
    const {placement, registry, clock} = createPlacement(1);
    const nothing = emptyUpdate('other');
    placement.applyPeerUpdate({...nothing, sent: [['lost', 'e1', 100, 100, 10, 0, []]]});
    expect(placement.remoteRequestCount).toBe(1);
    await clock.advance(20_000);
    placement.applyPeerUpdate({...nothing, sent: [['new', 'e1', 100, 100, 10, 0, []]]});
    expect(placement.remoteRequestCount).toBe(1);
    expect([...registry.find('e1')!.remoteRequests.keys()]).toEqual(['new']);
  });
});

describe('endpoints that were lost', () => {
  const noNews = emptyUpdate('other');
  const chosenIds = ({placement}: ReturnType<typeof createPlacement>) => {
    const ids = new Set<string>();
    for (let count = 0; count < 40; count += 1) {
      const request = requestOf(shortPrompt(`part${count}`));
      const endpoint = placement.choose(request, engine, noneExcluded)!;
      placement.startRequest(endpoint, request, engine);
      ids.add(endpoint.record.id);
    }
    return ids;
  };

  test('are reported to peers, which then do not try them', () => {
    const finder = createPlacement(8);
    finder.placement.recordUnreachable(finder.registry.find('e3')!);
    expect(finder.updates).toContainEqual({unreachable: ['e3']});
    const peer = createPlacement(8);
    peer.placement.applyPeerUpdate({...noNews, unreachable: ['e3', 'e5', 'unknown']});
    const ids = chosenIds(peer);
    expect(ids.has('e3') || ids.has('e5')).toBe(false);
    expect(ids.size).toBeGreaterThan(2);
  });

  test('are tried again after a while, and at once after a restart', async () => {
    const {clock, registry, placement} = createPlacement(8);
    placement.applyPeerUpdate({...noNews, unreachable: ['e3', 'e5']});
    const {record} = registry.find('e5')!;
    registry.put({...record, startedAtMs: 2});
    expect(registry.find('e5')!.isReportedUnreachable).toBe(false);
    await clock.advance(2000);
    expect(registry.find('e3')!.isReportedUnreachable).toBe(false);
  });

  test('count as reachable when peers report most of the endpoints, as a cut-off peer does', () => {
    const fleet = createPlacement(8);
    const unreachable = ['e1', 'e2', 'e3', 'e4', 'e5'];
    fleet.placement.applyPeerUpdate({...noNews, unreachable});
    const ids = chosenIds(fleet);
    expect(unreachable.some((id) => ids.has(id))).toBe(true);
  });
});
