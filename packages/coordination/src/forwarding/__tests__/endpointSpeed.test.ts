import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {EndpointRegistry} from '../endpointRegistry.js';
import {countForShare, EndpointSpeed, findMedianRatio} from '../endpointSpeed.js';
import {emptyUpdate, type PeerUpdate, peerUpdateSchema} from '../peerMessages.js';
import {Placement} from '../placement.js';

const engine: Engine = {slots: 48, cacheTokens: 300_000, tokensPerEvent: 4};
const noneExcluded: ReadonlySet<string> = new Set();
const EVENT_GAP_MS = 24;

/** Pseudo-random numbers from 0 to 1 that depend only on the seed. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

type TimeRatio = (id: string, nowMs: number) => number;

/** Other load on the machines: 15% of the time, 2.5 times slower, changing every 600 ms. */
function createNoise(seed: number): TimeRatio {
  return (id, nowMs) => {
    const random = createRandom(
      seed + Number(id.slice(1)) * 7919 + Math.floor(nowMs / 600) * 104_729,
    );
    random();
    return random() < 0.15 ? 2.5 : 1;
  };
}

/** One instance with engines whose events take `timeRatio` times the nominal time. */
class Fleet {
  readonly clock = new VirtualClock(1000);
  readonly registry = new EndpointRegistry({clock: this.clock, logger: silentLogger});
  readonly speeds: PeerUpdate['speeds'][number][] = [];
  readonly shortIds: string[] = [];
  readonly longIds: string[] = [];
  readonly placement: Placement;
  /** Ids that were in the slow band at any time. */
  readonly slowIds = new Set<string>();
  #sequence = 0;

  constructor(
    count: number,
    readonly timeRatio: TimeRatio,
  ) {
    for (let number = 1; number <= count; number += 1) this.start(`e${number}`, 1);
    const ignore = () => undefined;
    this.placement = new Placement({
      clock: this.clock,
      registry: this.registry,
      publisher: {
        publishSent: ignore,
        publishFirstEvent: ignore,
        publishEnded: ignore,
        publishSlowness: ignore,
        publishSpeed: (speed) => this.speeds.push(speed),
        publishUnreachable: ignore,
        publishLimit: ignore,
      },
    });
  }

  start(id: string, startedAtMs: number): void {
    const failureDomain = 'a';
    const address = `${id}:80`;
    const record = {id, service: 'model', address, failureDomain, slots: 48, isLeaving: false};
    this.registry.put({...record, startedAtMs});
  }

  speed(id: string): EndpointSpeed {
    return this.registry.find(id)!.speed;
  }

  /** Sends 16 short and 8 long prompts per second. */
  async run(seconds: number): Promise<void> {
    for (let turn = 0; turn < seconds * 8; turn += 1) {
      this.#send(false, 20);
      await this.clock.advance(62.5);
      this.#send(false, 20);
      this.#send(true, 12);
      await this.clock.advance(62.5);
      for (const {record, speed} of this.registry.usable('model')) {
        if (speed.isSlow) this.slowIds.add(record.id);
      }
    }
  }

  #send(isLong: boolean, events: number): void {
    this.#sequence += 1;
    const id = `r${this.#sequence}`;
    const parts = [
      {id: `shared${this.#sequence % 20}-${isLong}`, tokens: isLong ? 1700 : 200},
      {id, tokens: 400},
    ];
    const promptTokens = isLong ? 2100 : 600;
    const request = {
      id,
      service: 'model',
      targetLeftMs: isLong ? 315 : 157,
      patienceLeftMs: 2000,
      pauseTargetMs: isLong ? 150 : 100,
      prompt: {parts, promptTokens, maxOutputTokens: events * engine.tokensPerEvent},
    };
    const endpoint = this.placement.choose(request, engine, noneExcluded)!;
    (isLong ? this.longIds : this.shortIds).push(endpoint.record.id);
    const inFlight = this.placement.startRequest(endpoint, request, engine);
    const emit = (left: number) => {
      if (left === 0) {
        this.placement.endRequest(endpoint, inFlight);
        return;
      }
      const gapMs = EVENT_GAP_MS * this.timeRatio(endpoint.record.id, this.clock.now());
      this.clock.schedule(gapMs, () => {
        this.placement.recordEvent(endpoint, inFlight);
        emit(left - 1);
      });
    };
    emit(events);
  }
}

afterEach(() => {
  vi.restoreAllMocks();
});

describe('engines of unequal speed', () => {
  // Short streams beside long prompts on a slow engine miss their objective for pauses.
  test('short prompts go to fast engines, and long ones use the slow engines', async () => {
    const slow = ['e3', 'e6', 'e9'];
    const fleet = new Fleet(12, (id) => (slow.includes(id) ? 2.18 : 1));
    await fleet.run(40);
    const late = fleet.shortIds.slice(fleet.shortIds.length / 2);
    expect(late.filter((id) => slow.includes(id))).toEqual([]);
    expect([...fleet.slowIds].toSorted()).toEqual(slow);
    expect(fleet.longIds.slice(-100).some((id) => slow.includes(id))).toBe(true);
  });

  test.each([1, 2, 3])('noise puts no engine into the slow band, seed %d', async (seed) => {
    const fleet = new Fleet(8, createNoise(seed));
    await fleet.run(120);
    expect(fleet.slowIds.size).toBe(0);
  });

  test.each([1, 2])('a third of the engines at 1.3 times the speed, seed %d', async (seed) => {
    const noise = createNoise(seed);
    const fleet = new Fleet(
      9,
      (id, now) => noise(id, now) * (Number(id.slice(1)) % 3 === 0 ? 0.77 : 1),
    );
    await fleet.run(120);
    expect(fleet.slowIds.size).toBe(0);
  });

  test('an engine that becomes slow for seconds is learned, and returns after its recovery', async () => {
    let isSlow = true;
    const fleet = new Fleet(8, (id) => (id === 'e2' && isSlow ? 2.2 : 1));
    await fleet.run(30);
    expect(fleet.speed('e2').isSlow).toBe(true);
    isSlow = false;
    await fleet.run(15);
    expect(fleet.speed('e2').isSlow).toBe(false);
  });

  test('if all engines become slow, none is in the slow band', async () => {
    let ratio = 1;
    const fleet = new Fleet(8, () => ratio);
    await fleet.run(20);
    ratio = 2;
    await fleet.run(60);
    expect(fleet.registry.usable('model').some(({speed}) => speed.isSlow)).toBe(false);
  });

  test('a restarted engine begins at 1', async () => {
    const fleet = new Fleet(8, (id) => (id === 'e2' ? 2.2 : 1));
    await fleet.run(30);
    expect(fleet.speed('e2').slowness).toBeGreaterThan(1.8);
    fleet.start('e2', 2);
    expect(fleet.speed('e2').slowness).toBe(1);
    expect(fleet.speed('e2').ratio).toBeUndefined();
  });

  test('equal engines get the same choices as without an estimate', async () => {
    const estimating = new Fleet(8, createNoise(5));
    await estimating.run(40);
    vi.spyOn(EndpointSpeed.prototype, 'classify').mockReturnValue(false);
    const unaware = new Fleet(8, createNoise(5));
    await unaware.run(40);
    expect(estimating.shortIds).toEqual(unaware.shortIds);
    expect(estimating.longIds).toEqual(unaware.longIds);
  });
});

describe('statements of peers', () => {
  const stated = (speeds: PeerUpdate['speeds']) => ({...emptyUpdate('other'), speeds});

  test('count until the instance has samples of its own, which overrule them', async () => {
    const fleet = new Fleet(8, () => 1);
    for (let number = 1; number <= 8; number += 1) {
      fleet.placement.applyPeerUpdate(stated([[`e${number}`, 1, number === 2 ? 2.2 : 1]]));
    }
    await fleet.run(1);
    expect(fleet.speed('e2').isSlow).toBe(true);
    await fleet.run(30);
    expect(fleet.speed('e2').isSlow).toBe(false);
  });

  test('are ignored for other lifetimes and unknown engines', () => {
    const fleet = new Fleet(2, () => 1);
    fleet.placement.applyPeerUpdate(
      stated([
        ['e1', 0, 3],
        ['unknown', 1, 3],
      ]),
    );
    expect(fleet.speed('e1').ratio).toBeUndefined();
  });

  test('are sent once the estimate is reliable, and again only after a change', async () => {
    let ratio = 1;
    const fleet = new Fleet(4, (id) => (id === 'e1' ? ratio : 1));
    await fleet.run(60);
    const ids = fleet.speeds.map(([id]) => id);
    expect(ids.toSorted()).toEqual(['e1', 'e2', 'e3', 'e4']);
    ratio = 2;
    await fleet.run(30);
    const later = fleet.speeds.slice(4);
    expect(later.length).toBeGreaterThan(0);
    expect(later.every(([id]) => id === 'e1')).toBe(true);
    expect(later.at(-1)?.[2]).toBeGreaterThan(1.7);
  });

  test('are missing in the updates of instances that do not know them', () => {
    const {speeds, ...older} = emptyUpdate('older');
    expect(speeds).toEqual([]);
    expect(peerUpdateSchema.parse(older).speeds).toEqual([]);
  });
});

describe('the estimate', () => {
  function speedOf(ratio: number, samples: number): EndpointSpeed {
    const speed = new EndpointSpeed();
    for (let count = 0; count < samples; count += 1) speed.recordSample(ratio, count * 1000);
    return speed;
  }

  test('needs 12 samples, and takes no more than four a second', () => {
    expect(speedOf(2, 11).ratio).toBeUndefined();
    expect(speedOf(2, 12).ratio).toBe(2);
    const burst = new EndpointSpeed();
    for (let count = 0; count < 100; count += 1) burst.recordSample(2, count * 10);
    expect(burst.ratio).toBeUndefined();
  });

  test('has hysteresis in the slow band', () => {
    const speed = speedOf(1.3, 12);
    expect([speed.classify(1), speed.isSlow]).toEqual([false, false]);
    for (let count = 12; count < 60; count += 1) speed.recordSample(1.4, count * 1000);
    expect([speed.classify(1), speed.isSlow]).toEqual([true, true]);
    for (let count = 60; count < 120; count += 1) speed.recordSample(1.25, count * 1000);
    expect([speed.classify(1), speed.isSlow]).toEqual([false, true]);
    for (let count = 120; count < 180; count += 1) speed.recordSample(1.15, count * 1000);
    expect([speed.classify(1), speed.isSlow]).toEqual([true, false]);
  });

  test('is compared with the median only if half of the endpoints are known', () => {
    const unknown = new EndpointSpeed();
    expect(findMedianRatio([speedOf(1, 12), unknown, unknown])).toBeUndefined();
    expect(findMedianRatio([speedOf(1, 12), speedOf(2, 12), unknown])).toBe(1);
  });

  test('divides endpoints by their speed', () => {
    const [slow, equal] = [speedOf(2, 12), new EndpointSpeed()];
    slow.classify(1);
    const mixed = [slow, slow, equal, equal, equal].map((speed) => ({speed}));
    expect(countForShare(mixed, 0.5)).toBeCloseTo(3);
    expect(countForShare(mixed, 0.125)).toBeCloseTo(1);
    expect(countForShare(mixed.slice(2), 0.5)).toBeCloseTo(1.5);
  });
});
