import {seededRandom, flushPromises, VirtualClock} from '@marigoldfold/runtime';
import type {Account} from '@marigoldfold/state';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createLimitedAccount, type NetworkFaults, Region} from '../__fixtures__/region.js';
import {AccountUsage} from '../accountUsage.js';
import {
  computeEntryShare,
  computeFallbackShare,
  GRANT_PERIOD_MS,
  computeHomeShare,
} from '../accountShares.js';
import {TokenBucket} from '../tokenBucket.js';

const NAME = 'conservatory';
const MS_PER_SECOND = 1000;
const FALLBACK_MS = 1000;

function createRegion(size: number, limits = {}, faults?: NetworkFaults) {
  const clock = new VirtualClock();
  const account = createLimitedAccount(limits);
  const region = new Region(clock, seededRandom(3), size, () => account, faults);
  return {clock, account, region};
}

interface Step {
  readonly kind: 'request' | 'crash' | 'pause' | 'show' | 'wait';
  readonly entry: number;
  readonly ms: number;
}

const step = fc.oneof(
  {
    weight: 30,
    arbitrary: fc.record({kind: fc.constant('request' as const), entry: fc.nat(3), ms: fc.nat(40)}),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('wait' as const), entry: fc.nat(3), ms: fc.nat(3000)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('crash' as const), entry: fc.nat(3), ms: fc.nat(0)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('pause' as const), entry: fc.nat(3), ms: fc.nat(4000)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('show' as const), entry: fc.nat(3), ms: fc.nat(0)}),
  },
);

/** Simulates the steps; returns the number of admitted requests and the maximum that the design allows. */
async function run(steps: readonly Step[], size: number, limits: object, faults: NetworkFaults) {
  const {clock, account, region} = createRegion(size, limits, faults);
  const requestsPerSecond = account.requestsPerSecond;
  let admitted = 0;
  let nonconforming = 0;
  let allowed = size * computeEntryShare(account, size).capacity;
  // Maximum tokens that all entries hold in grants: two requests each, and those of two grant periods in total.
  const maxHeld = 2 * size + (2 * requestsPerSecond * GRANT_PERIOD_MS) / MS_PER_SECOND;
  const centralLimit = {ratePerSecond: requestsPerSecond, capacity: account.burst + maxHeld};
  const central = new TokenBucket(clock, centralLimit.capacity);
  const advanceTime = async (ms: number) => {
    const startMs = clock.now();
    const isHome = region.entries.map(({directory}) => directory.homeOf(NAME) === undefined);
    const sizes = region.entries.map(({directory}) => directory.size);
    await clock.advance(ms);
    const seconds = (clock.now() - startMs) / MS_PER_SECOND;
    for (const [index, entry] of region.entries.entries()) {
      if (entry.isDown) continue;
      const share = computeEntryShare(account, sizes[index]!);
      allowed += share.ratePerSecond * seconds;
      if (isHome[index]) allowed += computeHomeShare(account).ratePerSecond * seconds;
    }
  };
  for (const {kind, entry: index, ms} of steps) {
    const entry = region.entries[index % size]!;
    switch (kind) {
      case 'request':
        if (entry.isDown) break;
        void entry.limits.admit(NAME, account, 3).then((result) => {
          if (result.isErr()) return;
          admitted += 1;
          if (!central.take(centralLimit, 1)) nonconforming += 1;
        });
        await advanceTime(ms);
        break;
      case 'wait':
        await advanceTime(ms);
        break;
      case 'crash':
        if (region.entries.filter(({isDown}) => !isDown).length > 1) entry.isDown = true;
        break;
      case 'pause':
        entry.pausedUntilMs = clock.now() + ms;
        break;
      case 'show': {
        const live = region.entries.filter(({isDown}) => !isDown);
        region.setInstances(entry, live);
        break;
      }
    }
  }
  await advanceTime(1000);
  allowed += fallbackAllowance(region, account);
  region[Symbol.dispose]();
  return {admitted, allowed, nonconforming};
}

/** Requests that entries may admit by their fallback share in addition to their usual share. */
function fallbackAllowance({unanswered}: Region, account: Account): number {
  let allowance = 0;
  const endMs = new Map<string, number>();
  for (const {entry, atMs, entries} of unanswered) {
    const fromMs = Math.max(atMs, endMs.get(entry) ?? 0);
    const untilMs = atMs + FALLBACK_MS;
    endMs.set(entry, untilMs);
    const usual = computeEntryShare(account, entries).ratePerSecond;
    const extra = computeFallbackShare(account, entries).ratePerSecond - usual;
    allowance += (extra * (untilMs - fromMs)) / MS_PER_SECOND;
  }
  return allowance;
}

describe('over-admission compared with a central limiter', () => {
  const limits = fc.record({
    requestsPerSecond: fc.integer({min: 1, max: 20}),
    burst: fc.integer({min: 1, max: 20}),
  });

  it('is at most what entries hold in grants, over any period without faults', async () => {
    const noFaults = {lostRequests: 0, lostResponses: 0, maxDelayMs: 1};
    const faultFreeSteps = fc.array(
      step.filter(({kind}) => kind === 'request' || kind === 'wait'),
      {minLength: 50, maxLength: 200},
    );
    await fc.assert(
      fc.asyncProperty(
        faultFreeSteps,
        limits,
        fc.integer({min: 2, max: 4}),
        async (steps, limit, size) => {
          const {admitted, allowed, nonconforming} = await run(steps, size, limit, noFaults);
          expect(nonconforming).toBe(0);
          expect(admitted).toBeLessThanOrEqual(allowed + 1e-6);
        },
      ),
      {seed: 11, numRuns: 40, endOnFailure: true},
    );
  });

  it('stays within the bound through crashes, pauses, stale lists and lost or late responses', async () => {
    const faultySteps = fc.array(step, {minLength: 80, maxLength: 250});
    const faults = fc.record({
      lostRequests: fc.constantFrom(0, 0.2),
      lostResponses: fc.constantFrom(0, 0.3),
      maxDelayMs: fc.constantFrom(2, 400),
    });
    await fc.assert(
      fc.asyncProperty(
        faultySteps,
        limits,
        fc.integer({min: 2, max: 4}),
        faults,
        async (...inputs) => {
          const [steps, limit, size, network] = inputs;
          const {admitted, allowed} = await run(steps, size, limit, network);
          expect(admitted).toBeLessThanOrEqual(allowed + 1e-6);
        },
      ),
      {seed: 12, numRuns: 60, endOnFailure: true},
    );
  });
});

describe('a change of the home of an account', () => {
  it('does not grant the burst a second time', async () => {
    const {clock, account, region} = createRegion(3, {requestsPerSecond: 2, burst: 200});
    const [requester] = region.entries.filter((entry) => entry !== region.homeOf(NAME));
    const sendRequests = async () => {
      let admitted = 0;
      for (let turn = 0; turn < 300; turn += 1) {
        void requester!.limits.admit(NAME, account, 3).then((result) => {
          if (result.isOk()) admitted += 1;
        });
      }
      await clock.advance(1000);
      return admitted;
    };
    await clock.advance(200_000);
    // A quarter of the home's share is reserved for the top tier.
    expect(await sendRequests()).toBeGreaterThan(200 * 0.9 * 0.74);
    const down = region.homeOf(NAME);
    down.isDown = true;
    const live = region.entries.filter((entry) => entry !== down);
    for (const entry of live) region.setInstances(entry, live);
    await clock.advance(1000);
    expect(await sendRequests()).toBeLessThanOrEqual(10);
  });

  it('back to a previous home does not repeat grants made in the meantime', async () => {
    const {clock, region} = createRegion(3, {requestsPerSecond: 2, burst: 200});
    const home = region.homeOf(NAME);
    const others = region.entries.filter((entry) => entry !== home);
    const request = {account: NAME, tokens: 0, urgent: 500};
    await clock.advance(200_000);
    expect(home.home.grant('entry-1', request)?.tokens).toBeGreaterThan(150);
    region.setInstances(home, others);
    await clock.advance(20_000);
    region.setInstances(home, region.entries);
    await clock.advance(1000);
    expect(home.home.grant('entry-1', request)?.tokens).toBeLessThanOrEqual(2);
  });

  it('leaves one home that grants, and all other entries refuse', () => {
    const {region} = createRegion(3);
    const home = region.homeOf(NAME);
    const request = {account: NAME, tokens: 1, permits: 0, held: 0};
    for (const entry of region.entries) {
      expect(entry.home.grant('entry-9', request) === undefined).toBe(entry !== home);
    }
  });

  it('does not use a grant that arrives after its expiry', async () => {
    const clock = new VirtualClock();
    const account = createLimitedAccount({requestsPerSecond: 1, burst: 1});
    const usage = new AccountUsage(clock, account, 3);
    await clock.advance(5000);
    const grant = {tokens: 9, permits: 9, validMs: GRANT_PERIOD_MS, retryAfterMs: 0};
    usage.applyGrant(grant, clock.now() - GRANT_PERIOD_MS, account, 3);
    expect([usage.tryAdmit(account, 3, 3), usage.tryAdmit(account, 3, 3)]).toEqual([true, false]);
    usage.applyGrant(grant, clock.now() - GRANT_PERIOD_MS + 1, account, 3);
    expect(usage.tryAdmit(account, 3, 3)).toBe(true);
  });
});

describe('an account that uses its whole limit', () => {
  it('receives most of the limit through a single entry', async () => {
    const {clock, account, region} = createRegion(3, {requestsPerSecond: 20, burst: 20});
    const entry = region.entries[0]!;
    let admitted = 0;
    await clock.advance(5000);
    for (let turn = 0; turn < 2000; turn += 1) {
      void entry.limits.admit(NAME, account, 3).then((result) => {
        if (result.isOk()) admitted += 1;
      });
      await clock.advance(10);
    }
    // A central limiter admits 20 a second plus the burst; nine tenths of the limit are granted by the home.
    expect(admitted).toBeGreaterThan(20 * 20 * 0.9);
    expect(admitted).toBeLessThanOrEqual(20 * 20 + 20 + 3);
  });
});

describe('a top-tier request', () => {
  it('does not wait for a grant', async () => {
    const {account, region} = createRegion(3, {requestsPerSecond: 10, burst: 20});
    region.homeOf(NAME).isDown = true;
    const requester = region.entries.find((entry) => entry !== region.homeOf(NAME))!;
    const outcomes: boolean[] = [];
    for (let turn = 0; turn < 5; turn += 1) {
      void requester.limits.admit(NAME, account, 0).then((result) => outcomes.push(result.isOk()));
    }
    await flushPromises();
    expect(outcomes).toEqual([true, true, true, true, true]);
  });
});

describe('an account with more low-tier work than its limit', () => {
  it.each([1, 3])('still has all its top-tier requests admitted, with %i entries', async (size) => {
    const {clock, account, region} = createRegion(size, {
      requestsPerSecond: 20,
      burst: 40,
      concurrency: 1000,
    });
    await clock.advance(5000);
    let urgent = 0;
    let others = 0;
    for (let turn = 0; turn < 3000; turn += 1) {
      const {limits} = region.entries[turn % size]!;
      // Sends 100 low-tier requests and 5 top-tier requests per second.
      void limits.admit(NAME, account, 6).then((result) => {
        if (result.isOk()) others += 1;
        if (result.isOk()) result.value[Symbol.dispose]();
      });
      if (turn % 20 === 0) {
        void limits.admit(NAME, account, 0).then((result) => {
          if (result.isOk()) urgent += 1;
          if (result.isOk()) result.value[Symbol.dispose]();
        });
      }
      await clock.advance(10);
    }
    expect(urgent).toBe(150);
    expect(others).toBeGreaterThan(30 * 15 * 0.8);
    expect(urgent + others).toBeLessThanOrEqual(30 * 20 + 40 + 2 * size + 2 * 20 * 2);
    region[Symbol.dispose]();
  });
});

describe('an unreachable home', () => {
  it('limits each entry to its fallback share until a new home responds', async () => {
    const {clock, account, region} = createRegion(3, {requestsPerSecond: 30, burst: 3});
    const down = region.homeOf(NAME);
    down.isDown = true;
    const live = region.entries.filter((entry) => entry !== down);
    let admitted = 0;
    const sendRequests = async (seconds: number) => {
      admitted = 0;
      for (let turn = 0; turn < seconds * 100; turn += 1) {
        for (const {limits} of live) {
          void limits.admit(NAME, account, 3).then((result) => {
            if (result.isOk()) admitted += 1;
          });
        }
        await clock.advance(10);
      }
    };
    await sendRequests(10);
    // The two remaining entries of three use a third of the limit each, except while they wait for the home.
    expect(admitted).toBeLessThanOrEqual(10 * 20 + 6);
    expect(admitted).toBeGreaterThan(10 * 20 * 0.5);
    for (const entry of live) region.setInstances(entry, live);
    await sendRequests(10);
    expect(admitted).toBeGreaterThan(10 * 30 * 0.8);
    expect(admitted).toBeLessThanOrEqual(10 * 30 + 8);
  });
});

describe('requests in flight', () => {
  it('are limited across entries, and long ones keep their permits', async () => {
    const {clock, account, region} = createRegion(3, {
      requestsPerSecond: 1000,
      burst: 1000,
      concurrency: 20,
    });
    await clock.advance(5000);
    const open: Disposable[] = [];
    for (let turn = 0; turn < 30; turn += 1) {
      for (const {limits} of region.entries) {
        void limits.admit(NAME, account, 3).then((result) => {
          if (result.isOk()) open.push(result.value);
        });
      }
      await clock.advance(500);
    }
    expect(open.length).toBeGreaterThanOrEqual(18);
    expect(open.length).toBeLessThanOrEqual(20 + 3);
    for (const handle of open.splice(0)) handle[Symbol.dispose]();
    await clock.advance(35_000);
    void region.entries[1]!.limits.admit(NAME, account, 3).then((result) => {
      if (result.isOk()) open.push(result.value);
    });
    await clock.advance(50);
    expect(open).toHaveLength(1);
  });
});

describe('18,000 accounts', () => {
  it('are removed when idle, and their grant requests are batched', async () => {
    const clock = new VirtualClock();
    const account = createLimitedAccount({requestsPerSecond: 2, burst: 4});
    const region = new Region(clock, seededRandom(5), 3, () => account);
    const entry = region.entries[0]!;
    await clock.advance(10_000);
    for (let index = 0; index < 18_000; index += 1) {
      for (let turn = 0; turn < 2; turn += 1) {
        void entry.limits.admit(`account-${index}`, account, 3).then((result) => {
          result._unsafeUnwrap()[Symbol.dispose]();
        });
      }
    }
    await clock.advance(1000);
    expect(region.grantRequestCount).toBeGreaterThan(10_000);
    expect(region.messages).toBeLessThan(20);
    expect(entry.limits.size).toBe(18_000);
    // The longest grant is valid for two minutes.
    await clock.advance(150_000);
    for (const {limits, home} of region.entries) {
      expect(limits.size).toBe(0);
      expect(home.size).toBe(0);
    }
    region[Symbol.dispose]();
  });
});
