import {seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {EndpointPermits} from '../endpointPermits.js';
import {EndpointRegistry} from '../endpointRegistry.js';
import {emptyUpdate} from '../peerMessages.js';

const ENDPOINT_ID = 'e1';
const LIMIT = 2;
const NETWORK_DELAY_MS = 1;

/** An instance of a simulated fleet: what it believes of the others, and whether it reaches them. */
class TestInstance {
  readonly registry: EndpointRegistry;
  readonly permits: EndpointPermits;
  peers: readonly string[] = [];
  isRegistered = true;
  isCutOff = false;

  constructor(
    readonly name: string,
    readonly fleet: TestFleet,
  ) {
    const {clock} = fleet;
    this.registry = new EndpointRegistry({clock, logger: silentLogger});
    this.registry.put({
      id: ENDPOINT_ID,
      service: 'app',
      address: '10.0.0.1:80',
      failureDomain: 'a',
      slots: 8,
      isLeaving: false,
      startedAtMs: 1,
    });
    this.permits = new EndpointPermits({
      clock,
      logger: silentLogger,
      random: seededRandom(1),
      self: name,
      registry: this.registry,
      peers: () => this.peers,
      isRegistered: () => this.isRegistered,
      send: (peer, update) => {
        clock.schedule(NETWORK_DELAY_MS, () => {
          const target = fleet.instances.get(peer);
          if (target === undefined || target.isCutOff || this.isCutOff) return;
          target.permits.receive({...emptyUpdate(name), ...update});
        });
      },
    });
  }

  learnLimit(): void {
    const statedAtMs = this.fleet.clock.now();
    this.registry.mergeLimit(ENDPOINT_ID, {perSecond: LIMIT, statedAtMs});
  }

  async request(waitMs: number): Promise<void> {
    const endpoint = this.registry.find(ENDPOINT_ID)!;
    const permit = await this.permits.acquire(endpoint, {rank: 1, waitMs});
    if (permit.isGranted) this.fleet.sends.push({atMs: this.fleet.clock.now(), from: this.name});
  }
}

class TestFleet {
  readonly clock = new VirtualClock();
  readonly instances = new Map<string, TestInstance>();
  readonly sends: {readonly atMs: number; readonly from: string}[] = [];

  constructor(count: number) {
    for (let number = 1; number <= count; number += 1) this.add(`i${number}`);
    this.agree();
  }

  add(name: string): TestInstance {
    const instance = new TestInstance(name, this);
    this.instances.set(name, instance);
    instance.learnLimit();
    return instance;
  }

  /** Lets all instances see each other. */
  agree(): void {
    for (const instance of this.instances.values()) {
      this.see(instance, [...this.instances.keys()]);
    }
  }

  see(instance: TestInstance, members: readonly string[]): void {
    instance.peers = members.filter((name) => name !== instance.name);
    instance.permits.updateMembers();
  }

  /** The instance that issues the permits, as long as all agree. */
  async findHome(): Promise<TestInstance> {
    const homes: TestInstance[] = [];
    for (const instance of this.instances.values()) {
      instance.isCutOff = true;
      await this.clock.advance(3000);
      const before = this.sends.length;
      void instance.request(600);
      await this.clock.advance(700);
      if (this.sends.length > before) homes.push(instance);
      instance.isCutOff = false;
    }
    expect(homes).toHaveLength(1);
    await this.clock.advance(3000);
    this.sends.length = 0;
    return homes[0]!;
  }

  /** Each instance asks every `gapMs` for `durationMs`. */
  async ask(durationMs: number, gapMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += gapMs) {
      for (const instance of this.instances.values()) {
        if (instance.registry.find(ENDPOINT_ID)?.withheldForMs === 0) void instance.request(0);
      }
      await this.clock.advance(gapMs);
    }
  }

  /** Largest number of sends in any 4 s. */
  get busiestWindow(): number {
    const counts = this.sends.map(
      ({atMs: fromMs}) =>
        this.sends.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + 4000).length,
    );
    return Math.max(0, ...counts);
  }
}

/** Requests that 4 s allow: one and a half times the limit, and 5 beyond. */
const ALLOWED = 1.5 * LIMIT * 4 + 5;

describe('the limit of an endpoint', () => {
  test.each([1, 4, 31, 68])('is used and kept by %i instances together', async (count) => {
    const fleet = new TestFleet(count);
    await fleet.ask(20_000, 20);
    expect(fleet.sends.length).toBeGreaterThanOrEqual(LIMIT * 20 - 3);
    expect(fleet.busiestWindow).toBeLessThanOrEqual(LIMIT * 4 + 3);
  });

  test('is kept while instances join and the home moves again and again', async () => {
    const fleet = new TestFleet(3);
    for (let number = 4; number <= 20; number += 1) {
      const joined = fleet.add(`i${number}`);
      // The new instance sees the others before they see it.
      fleet.see(joined, [...fleet.instances.keys()]);
      await fleet.ask(300, 20);
      fleet.agree();
      await fleet.ask(700, 20);
    }
    expect(fleet.busiestWindow).toBeLessThanOrEqual(ALLOWED);
  });

  test('is kept while an instance whose registration has lapsed still believes to be the home', async () => {
    const fleet = new TestFleet(4);
    const home = await fleet.findHome();
    const others = [...fleet.instances.keys()].filter((name) => name !== home.name);
    for (const instance of fleet.instances.values()) {
      if (instance !== home) fleet.see(instance, others);
    }
    home.isRegistered = false;
    await fleet.ask(12_000, 20);
    expect(fleet.busiestWindow).toBeLessThanOrEqual(LIMIT * 4 + 3);
    expect(fleet.sends.length).toBeGreaterThanOrEqual(LIMIT * 12 - 5);
  });

  test('is kept on both sides of a cut between instances that see each other in the store', async () => {
    const fleet = new TestFleet(4);
    const home = await fleet.findHome();
    home.isCutOff = true;
    await fleet.ask(12_000, 20);
    expect(new Set(fleet.sends.map(({from}) => from))).toEqual(new Set([home.name]));
    expect(fleet.busiestWindow).toBeLessThanOrEqual(LIMIT * 4 + 3);
  });

  test('is not asked for at a home that does not respond more than once a second', async () => {
    const fleet = new TestFleet(2);
    const home = await fleet.findHome();
    home.isCutOff = true;
    const [other] = [...fleet.instances.values()].filter((instance) => instance !== home);
    void other!.request(0);
    await fleet.clock.advance(100);
    expect(other!.registry.find(ENDPOINT_ID)!.withheldForMs).toBeGreaterThan(900);
  });

  test('that has ended is no limit to an instance that has not heard of its end', async () => {
    const fleet = new TestFleet(2);
    const home = await fleet.findHome();
    const [other] = [...fleet.instances.values()].filter((instance) => instance !== home);
    await fleet.clock.advance(100);
    home.registry.mergeLimit(ENDPOINT_ID, {perSecond: undefined, statedAtMs: fleet.clock.now()});
    void other!.request(0);
    await fleet.clock.advance(10);
    expect(fleet.sends).toHaveLength(1);
    expect(other!.registry.find(ENDPOINT_ID)!.limitPerSecond).toBeUndefined();
  });
});
