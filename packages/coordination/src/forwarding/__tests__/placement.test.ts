import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {describe, expect, test} from 'vitest';
import type {PlacementRequest, PromptSize} from '../placementRequest.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointRegistry} from '../endpointRegistry.js';
import {Placement} from '../placement.js';
import type {PeerUpdate} from '../peerMessages.js';

const engine: Engine = {slots: 48, cacheTokens: 300_000, tokensPerEvent: 3};
const none: ReadonlySet<string> = new Set();

function open(count: number, services: Readonly<Record<string, string>> = {}) {
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
  const news: Partial<PeerUpdate>[] = [];
  const placement = new Placement({
    clock,
    registry,
    publisher: {
      publishSent: (sent) => news.push({sent: [sent]}),
      publishFirstEvent: (id) => news.push({begun: [id]}),
      publishEnded: (id) => news.push({ended: [id]}),
      publishSlowness: (id, value) => news.push({slowness: [[id, value]]}),
    },
  });
  return {clock, registry, placement, news};
}

let sequence = 0;

function demandOf(prompt: PromptSize | undefined, service = 'model'): PlacementRequest {
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

/** A prompt with a shared part of its own group and a part of its own. */
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

function chosen(endpoint: Endpoint | undefined): string {
  if (endpoint === undefined) throw new Error('no endpoint was chosen');
  return endpoint.record.id;
}

describe('the choice of an engine', () => {
  test('returns to the endpoint that has read the shared part', () => {
    const {placement} = open(8);
    const demand = demandOf(longPrompt());
    const first = placement.choose(demand, engine, none)!;
    placement.endRequest(first, placement.startRequest(first, demand, engine));
    for (let count = 0; count < 10; count += 1) {
      expect(placement.choose(demandOf(longPrompt()), engine, none)).toBe(first);
    }
  });

  test('is the same in processes that know nothing of each other', () => {
    const picks = [open(8), open(8)].map(({placement}) =>
      ['a', 'b', 'c', 'd'].map((shared) =>
        chosen(placement.choose(demandOf(longPrompt(shared)), engine, none)),
      ),
    );
    expect(picks[0]).toEqual(picks[1]);
  });

  test('keeps long prompts away from short streams', () => {
    const {placement} = open(8);
    const ends = new Map<string, Set<string>>([
      ['long', new Set()],
      ['short', new Set()],
    ]);
    for (let count = 0; count < 60; count += 1) {
      const isLong = count % 3 === 0;
      const prompt = isLong ? longPrompt(`l${count % 9}`) : shortPrompt(`s${count % 7}`);
      const demand = demandOf(prompt);
      const endpoint = placement.choose(demand, engine, none)!;
      const flight = placement.startRequest(endpoint, demand, engine);
      placement.recordEvent(endpoint, flight);
      ends.get(isLong ? 'long' : 'short')?.add(chosen(endpoint));
      if (count > 20) placement.endRequest(endpoint, flight);
    }
    const shared = [...(ends.get('long') ?? [])].filter((id) => ends.get('short')?.has(id));
    expect(shared.length).toBeLessThanOrEqual(1);
  });

  test('leaves an endpoint that has prompts to read for one that has none', () => {
    const {placement} = open(2);
    const demand = demandOf(longPrompt('x'));
    const first = placement.choose(demand, engine, none)!;
    for (let count = 0; count < 6; count += 1) {
      placement.startRequest(first, demandOf(promptOf(`y${count}`, 6000, 6000)), engine);
    }
    expect(placement.choose(demandOf(longPrompt('z')), engine, none)).not.toBe(first);
  });

  test('does not take waiting prompts for read because time has passed', async () => {
    const {placement, clock} = open(2);
    const first = placement.choose(demandOf(longPrompt('x')), engine, none)!;
    for (let count = 0; count < 6; count += 1) {
      placement.startRequest(first, demandOf(promptOf(`y${count}`, 6000, 6000)), engine);
    }
    await clock.advance(3000);
    expect(placement.choose(demandOf(longPrompt('z')), engine, none)).not.toBe(first);
  });

  test('goes by what other instances tell', () => {
    const {placement, registry} = open(2);
    const first = placement.choose(demandOf(longPrompt('x')), engine, none)!;
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
    const empty = {begun: [], ended: [], slowness: []};
    placement.applyPeerUpdate({from: 'other', sent, ...empty});
    expect(placement.choose(demandOf(longPrompt('x')), engine, none)).not.toBe(first);
    const ended = sent.map(([requestId]) => requestId);
    placement.applyPeerUpdate({from: 'other', ...empty, sent: [], ended});
    expect(registry.find(id)?.remoteRequests.size).toBe(0);
    expect(placement.choose(demandOf(longPrompt('x')), engine, none)).toBe(first);
  });

  test('tells other instances of sends, first events and ends', () => {
    const {placement, news} = open(2);
    const demand = demandOf(shortPrompt());
    const endpoint = placement.choose(demand, engine, none)!;
    const flight = placement.startRequest(endpoint, demand, engine);
    placement.recordEvent(endpoint, flight);
    placement.endRequest(endpoint, flight);
    expect(news).toMatchObject([
      {sent: [[demand.id, endpoint.record.id, 700, 700, 50, 100, [['short', 200]]]]},
      {begun: [demand.id]},
      {ended: [demand.id]},
    ]);
  });

  test('does not take events that come by turns early and late for slowness', async () => {
    const {placement, clock} = open(1);
    const demand = demandOf(shortPrompt());
    const endpoint = placement.choose(demand, engine, none)!;
    const flight = placement.startRequest(endpoint, demand, engine);
    for (let count = 0; count < 200; count += 1) {
      await clock.advance(count % 2 === 0 ? 12 : 26);
      placement.recordEvent(endpoint, flight);
    }
    expect(endpoint.slowness).toBeLessThan(1.2);
  });

  test('keeps short streams away from where long prompts arrive often', async () => {
    const {placement, clock} = open(2);
    for (let count = 0; count < 40; count += 1) {
      await clock.advance(100);
      for (const prompt of [longPrompt('l'), shortPrompt('s')]) {
        const demand = demandOf(prompt);
        const endpoint = placement.choose(demand, engine, none)!;
        const flight = placement.startRequest(endpoint, demand, engine);
        placement.recordEvent(endpoint, flight);
        placement.endRequest(endpoint, flight);
      }
    }
    const long = chosen(placement.choose(demandOf(longPrompt('l')), engine, none));
    for (const shared of ['a', 'b', 'c', 'd', 'e', 'f']) {
      const short = chosen(placement.choose(demandOf(shortPrompt(shared)), engine, none));
      expect(short).not.toBe(long);
    }
  });

  test('puts prompts that take long to read behind the others', () => {
    const {placement} = open(1);
    const read = (tokens: number) => {
      const demand = demandOf(promptOf('new', 100, tokens));
      const endpoint = placement.choose(demand, engine, none)!;
      return placement.canMeetTarget(endpoint, demand);
    };
    expect(read(4000)).toBe(true);
    expect(read(14_000)).toBe(false);
  });

  test('avoids an endpoint that has turned slow, for as long as that is known', async () => {
    const {placement, clock, registry} = open(2);
    const pick = () => placement.choose(demandOf(shortPrompt()), engine, none)!;
    const demand = demandOf(shortPrompt());
    const first = placement.choose(demand, engine, none)!;
    const flight = placement.startRequest(first, demand, engine);
    placement.recordEvent(first, flight);
    expect(pick()).toBe(first);
    registry.find(first.record.id)?.recordSlowness(3);
    expect(pick()).not.toBe(first);
    placement.endRequest(first, flight);
    await clock.advance(1000);
    expect(pick()).toBe(first);
  });
});

describe('the choice of an endpoint of a plain service', () => {
  test('takes the one with the fewest requests, and not one that is barred', () => {
    const {placement, registry} = open(3);
    const demand = demandOf(undefined);
    const picks = [1, 2, 3].map(() => {
      const endpoint = placement.choose(demand, undefined, none)!;
      placement.startRequest(endpoint, demand, undefined);
      return chosen(endpoint);
    });
    expect(new Set(picks).size).toBe(3);
    registry.find('e2')?.backOff();
    registry.find('e3')?.backOff();
    expect(chosen(placement.choose(demand, undefined, none))).toBe('e1');
  });

  test('tries a barred endpoint rather than none, and never one that is excluded', () => {
    const {placement, registry} = open(2);
    for (const id of ['e1', 'e2']) registry.find(id)?.backOff();
    const demand = demandOf(undefined);
    expect(chosen(placement.choose(demand, undefined, new Set(['e1'])))).toBe('e2');
    expect(placement.choose(demand, undefined, new Set(['e1', 'e2']))).toBeUndefined();
  });

  test('leaves out one that fails more often than the others', () => {
    const {placement, registry} = open(2);
    for (let count = 0; count < 10; count += 1) registry.find('e1')?.recordResponse(true);
    for (let count = 0; count < 20; count += 1) {
      const endpoint = placement.choose(demandOf(undefined), undefined, none)!;
      placement.startRequest(endpoint, demandOf(undefined), undefined);
      expect(chosen(endpoint)).toBe('e2');
    }
  });
});

describe('requests of an instance that has died count as under way', () => {
  test('though the end of none of them is told', async () => {
    const {placement, registry, clock} = open(1);
    const told = {from: 'other', begun: [], ended: [], slowness: []};
    placement.applyPeerUpdate({...told, sent: [['lost', 'e1', 100, 100, 10, 0, []]]});
    expect(placement.remoteRequestCount).toBe(1);
    await clock.advance(20_000);
    placement.applyPeerUpdate({...told, sent: [['new', 'e1', 100, 100, 10, 0, []]]});
    expect(placement.remoteRequestCount).toBe(1);
    expect([...registry.find('e1')!.remoteRequests.keys()]).toEqual(['new']);
  });
});
