import {createHash} from 'node:crypto';
import {type Logger, seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {describe, expect, test} from 'vitest';
import type {Endpoint} from '../endpoint.js';
import {EndpointRegistry} from '../endpointRegistry.js';
import {emptyUpdate, type PeerUpdate} from '../peerMessages.js';
import {Placement} from '../placement.js';
import type {PlacementRequest} from '../placementRequest.js';

const engine: Engine = {slots: 48, cacheTokens: 300_000, tokensPerEvent: 3};
const noneExcluded: ReadonlySet<string> = new Set();
const ANSWER_MS = 50;

interface LogEntry {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>> | undefined;
}

function createInstance(ids: readonly string[], slots = 48) {
  const clock = new VirtualClock(1000);
  const entries: LogEntry[] = [];
  const logger: Logger = {
    ...silentLogger,
    info: (message, fields) => {
      entries.push({message, fields});
    },
  };
  const registry = new EndpointRegistry({clock, logger});
  const placement = new Placement({clock, registry});
  const put = (id: string, {startedAtMs = 1, isLeaving = false} = {}): Endpoint => {
    registry.put({
      id,
      service: 'model',
      address: `10.0.0.1:${id}`,
      failureDomain: 'a',
      slots,
      isLeaving,
      startedAtMs,
    });
    return registry.find(id)!;
  };
  for (const id of ids) put(id);
  registry.completeListing();
  const paceStates = () =>
    entries.filter(({message}) => message === 'endpoint pace').map(({fields}) => fields?.state);
  return {
    clock,
    registry,
    placement,
    put,
    paceStates,
    endpoint: (id: string) => registry.find(id)!,
  };
}

let sequence = 0;

function requestOf(promptTokens = 700, id = `r${(sequence += 1)}`): PlacementRequest {
  const parts = [
    {id: `shared${id.at(-1) ?? ''}`, tokens: promptTokens - 200},
    {id, tokens: 200},
  ];
  return {
    id,
    service: 'model',
    targetLeftMs: 600,
    patienceLeftMs: 2400,
    pauseTargetMs: 100,
    prompt: {parts, promptTokens, maxOutputTokens: 50},
  };
}

type Instance = ReturnType<typeof createInstance>;

function send({placement}: Instance, request = requestOf(), used?: Engine): Endpoint {
  const endpoint = placement.choose(request, used, noneExcluded);
  if (endpoint === undefined) throw new Error('a request was refused');
  placement.startRequest(endpoint, request, used);
  return endpoint;
}

async function answer({clock, placement}: Instance, endpoint: Endpoint): Promise<void> {
  const inFlight = placement.startRequest(endpoint, requestOf(), undefined);
  await clock.advance(ANSWER_MS);
  placement.recordEvent(endpoint, inFlight);
  placement.endRequest(endpoint, inFlight);
}

describe('a pace begins', () => {
  test('when an endpoint appears after the first listing, not for those in it', () => {
    const instance = createInstance(['1', '2']);
    expect(instance.endpoint('1').pace).toBeUndefined();
    expect(instance.put('3').pace?.window).toBe(3);
    expect([...instance.registry.paceWindows()]).toEqual([['3', 3]]);
    expect(instance.paceStates()).toEqual(['begun']);
  });

  test('when an endpoint was unreachable, here or at a peer, or asked for a pause', () => {
    const instance = createInstance(['1', '2', '3', '4', '5', '6', '7']);
    instance.placement.recordUnreachable(instance.endpoint('1'));
    instance.placement.recordPause(instance.endpoint('2'), 500);
    instance.placement.applyPeerUpdate({...emptyUpdate('peer'), unreachable: ['3']});
    expect([...instance.registry.paceWindows()].map(([id]) => id)).toEqual(['1', '2', '3']);
  });

  test('with a new lifetime, but not with a newer record of the same one', () => {
    const instance = createInstance(['1', '2']);
    instance.put('1');
    expect(instance.endpoint('1').pace).toBeUndefined();
    instance.put('1', {startedAtMs: 2});
    expect(instance.endpoint('1').pace).toBeDefined();
  });

  test('not while no other endpoint is established, and paces end with the last one', () => {
    const instance = createInstance([]);
    for (const id of ['1', '2', '3']) expect(instance.put(id).pace).toBeUndefined();
    const killed = createInstance(['1', '2', '3']);
    for (const id of ['1', '2', '3', '1', '2'])
      killed.placement.recordUnreachable(killed.endpoint(id));
    expect([...killed.registry.paceWindows()]).toEqual([]);
  });

  test('not when more than half of the endpoints are reported, as by a peer that is cut off', () => {
    const ids = ['1', '2', '3', '4'];
    const instance = createInstance(ids);
    instance.placement.applyPeerUpdate({...emptyUpdate('peer'), unreachable: ids});
    expect([...instance.registry.paceWindows()]).toEqual([]);
  });

  test('never for an endpoint that is leaving, and ends when it leaves', () => {
    const instance = createInstance(['1', '2']);
    expect(instance.put('3', {isLeaving: true}).pace).toBeUndefined();
    const endpoint = instance.put('4');
    instance.placement.recordLeaving(endpoint);
    instance.placement.recordPause(endpoint, 500);
    expect(endpoint.pace).toBeUndefined();
  });

  test('anew at the initial window, without another log line, while nothing is answered', async () => {
    const instance = createInstance(['1', '2', '3']);
    const endpoint = instance.endpoint('3');
    for (let count = 0; count < 3; count += 1) instance.placement.recordUnreachable(endpoint);
    expect(instance.paceStates()).toEqual(['begun']);
    await answer(instance, endpoint);
    expect(endpoint.pace?.window).toBe(4);
    instance.placement.recordUnreachable(endpoint);
    expect(endpoint.pace?.window).toBe(3);
    expect(instance.paceStates()).toEqual(['begun', 'begun']);
  });
});

describe('an endpoint with a pace', () => {
  test('gets no more than its window, and more as answers arrive', async () => {
    const instance = createInstance(['1', '2', '3']);
    const endpoint = instance.put('4');
    for (let count = 0; count < 60; count += 1) send(instance);
    expect(endpoint.localRequests.size).toBe(3);
    await answer(instance, endpoint);
    for (let count = 0; count < 60; count += 1) send(instance);
    expect(endpoint.localRequests.size).toBe(4);
  });

  test('is limited in the choice of an engine as well', () => {
    const instance = createInstance(['1', '2', '3']);
    const endpoint = instance.put('4');
    for (let count = 0; count < 80; count += 1) send(instance, requestOf(), engine);
    expect(endpoint.localRequests.size).toBeLessThanOrEqual(3);
  });

  test('counts what peers have in flight there, and rises with the first events that they report', async () => {
    const instance = createInstance(['1', '2', '3']);
    const endpoint = instance.put('4');
    const news = emptyUpdate('peer');
    const ids = ['a', 'b', 'c'];
    const sent: PeerUpdate['sent'] = ids.map((id) => [id, '4', 100, 100, 10, 0, []]);
    instance.placement.applyPeerUpdate({...news, sent});
    for (let count = 0; count < 30; count += 1) expect(send(instance)).not.toBe(endpoint);
    await instance.clock.advance(ANSWER_MS);
    instance.placement.applyPeerUpdate({...news, begun: ids});
    // A duplicate of the datagram must not raise the window again.
    instance.placement.applyPeerUpdate({...news, begun: ids});
    expect(endpoint.pace?.window).toBe(6);
  });

  test('takes all that the others have no slots for, so that no request waits for a proof', () => {
    const instance = createInstance(['1', '2'], 8);
    const endpoint = instance.put('3');
    for (let count = 0; count < 21; count += 1) send(instance);
    expect(endpoint.localRequests.size).toBeGreaterThan(2);
    expect(instance.placement.choose(requestOf(), undefined, new Set(['1', '2']))).toBe(endpoint);
  });

  test('is not held back when the only established endpoint leaves', () => {
    const instance = createInstance(['1']);
    const added = ['2', '3'].map((id) => instance.put(id));
    instance.placement.recordLeaving(instance.endpoint('1'));
    for (let count = 0; count < 40; count += 1) send(instance);
    for (const {localRequests} of added) expect(localRequests.size).toBe(20);
  });

  test('is established by its answers, also where the service misses its objective everywhere', async () => {
    const instance = createInstance(['1', '2']);
    const endpoint = instance.put('3');
    const {placement, clock} = instance;
    for (let count = 0; count < 60 && endpoint.pace !== undefined; count += 1) {
      for (const id of ['1', '2', '3']) {
        const target = instance.endpoint(id);
        const inFlight = placement.startRequest(target, requestOf(), undefined);
        await clock.advance(700);
        placement.recordEvent(target, inFlight);
        placement.endRequest(target, inFlight);
      }
    }
    expect(endpoint.pace).toBeUndefined();
    expect(instance.paceStates().at(-1)).toBe('ended');
  });
});

/** Digest of the choices for a seeded series in which no endpoint appears or recovers. */
async function digestOfSeries(used: Engine | undefined): Promise<string> {
  const instance = createInstance(Array.from({length: 12}, (_, index) => `${index}`));
  const {placement, clock} = instance;
  const random = seededRandom(11);
  const chosen = createHash('sha256');
  for (let count = 0; count < 3000; count += 1) {
    const request = requestOf(random() < 0.4 ? 5000 : 700, `s${count}`);
    const endpoint = placement.choose(request, used, noneExcluded)!;
    chosen.update(`${endpoint.record.id} `);
    const inFlight = placement.startRequest(endpoint, request, used);
    const isFailing = random() < 0.02;
    const firstMs = 20 + 100 * random();
    for (let event = 0; event < 5; event += 1)
      clock.schedule(firstMs + event * 40, () => {
        if (!isFailing) placement.recordEvent(endpoint, inFlight);
        if (event < 4) return;
        endpoint.recordResponse(isFailing);
        placement.endRequest(endpoint, inFlight);
      });
    await clock.advance(4 * random());
  }
  return chosen.digest('hex').slice(0, 16);
}

describe('without new or recovered endpoints', () => {
  // The digests are those of the code before endpoints had paces.
  test.each([
    ['a plain service', undefined, '3c9552b29323dd00'],
    ['an engine', engine, 'c4ec0147e526e642'],
  ])('a seeded series of %s is served as before', async (_, used, digest) => {
    expect(await digestOfSeries(used)).toBe(digest);
  });
});

// Guards against shared prompt parts that are read again, since engines change between the groups for long and short prompts.
test.each([4, 5, 6, 7, 8, 9])(
  'a full window moves none of %d engines to another group',
  (count) => {
    const [open, full] = [false, true].map((hasPace) => {
      const instance = createInstance(Array.from({length: count}, (_, index) => `e${index}`));
      const endpoint = instance.put('new');
      for (let sent = 0; sent < 4; sent += 1)
        instance.placement.startRequest(endpoint, requestOf(700, `f${sent}`), engine);
      if (!hasPace) endpoint.pace = undefined;
      return Array.from({length: 60}, (_, index) => {
        const request = requestOf(index % 2 === 0 ? 5000 : 700, `s${index}`);
        return instance.placement.choose(request, engine, noneExcluded)!.record.id;
      });
    });
    expect(full).not.toContain('new');
    expect(full!.filter((_, index) => open![index] !== 'new')).toEqual(
      open!.filter((id) => id !== 'new'),
    );
  },
);

describe('failures of an endpoint', () => {
  test('before an interruption do not keep work from it afterwards', () => {
    const instance = createInstance(['1', '2']);
    const endpoint = instance.endpoint('2');
    for (let count = 0; count < 5; count += 1) endpoint.recordResponse(true);
    instance.placement.recordUnreachable(endpoint);
    endpoint.resetBackoff();
    for (let count = 0; count < 10; count += 1) send(instance);
    expect(endpoint.localRequests.size).toBe(3);
  });

  test('of streams that an interruption cut off, found out later, do not either', async () => {
    const instance = createInstance(['1', '2']);
    const endpoint = instance.endpoint('2');
    const sentAtMs = instance.clock.now();
    await instance.clock.advance(100);
    instance.placement.recordUnreachable(endpoint);
    await instance.clock.advance(1200);
    for (let count = 0; count < 5; count += 1) {
      endpoint.recordResponse(true, sentAtMs);
      instance.placement.recordFailure(endpoint, sentAtMs);
    }
    for (let count = 0; count < 10; count += 1) send(instance);
    expect(endpoint.localRequests.size).toBe(3);
  });

  test('that refuse a request and ask for a pause do not lower the window after it', () => {
    const instance = createInstance(['1', '2']);
    const endpoint = instance.endpoint('2');
    const sentAtMs = instance.clock.now() - 10;
    instance.placement.recordPause(endpoint, 500);
    instance.placement.recordFailure(endpoint, sentAtMs);
    expect(endpoint.pace?.window).toBe(3);
  });

  test('lower its window, with a log line', async () => {
    const instance = createInstance(['1', '2']);
    const endpoint = instance.put('3');
    for (let count = 0; count < 5; count += 1) await answer(instance, endpoint);
    instance.placement.recordFailure(endpoint, instance.clock.now());
    expect(endpoint.pace?.window).toBe(4);
    expect(instance.paceStates()).toEqual(['begun', 'lowered']);
  });
});
