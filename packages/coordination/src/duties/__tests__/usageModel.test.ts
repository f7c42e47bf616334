import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {LATE_MS, UsageFleet, WINDOW_MS} from '../__fixtures__/usageFleet.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const ACCOUNTS = ['busy', 'steady', 'rare'];
/** Requests begin at least this long before or after the end of a window, since clocks are not exact. */
const MARGIN_MS = 150;
const STEP_MS = 100;

const eventArbitrary = fc.oneof(
  // The requests of one second.
  {
    weight: 10,
    arbitrary: fc.record({kind: fc.constant('requests' as const), seed: fc.nat(1000)}),
  },
  fc.record({
    kind: fc.constant('holder' as const),
    name: fc.constantFrom(...NAMES),
    // A holder loses the duty because it is killed or suspended, or for other reasons.
    former: fc.constantFrom('killed', 'paused', 'running'),
  }),
  fc.record({kind: fc.constant('restart' as const), name: fc.constantFrom(...NAMES)}),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('pause' as const),
      name: fc.constantFrom(...NAMES),
      durationMs: fc.integer({min: 100, max: 6000}),
    }),
  },
  fc.record({kind: fc.constant('storeDown' as const), isDown: fc.boolean()}),
  fc.record({kind: fc.constant('serviceDown' as const), isDown: fc.boolean()}),
  fc.record({kind: fc.constant('copy' as const)}),
  fc.record({kind: fc.constant('restore' as const)}),
);

type FleetEvent = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never;

const faultsArbitrary = fc.record({
  lostMessages: fc.constantFrom(0, 0.1, 0.3),
  repeatedMessages: fc.constantFrom(0, 0.3),
  messageDelayMs: fc.constantFrom(2, 100),
  unansweredReports: fc.constantFrom(0, 0.3),
  reportDelayMs: fc.constantFrom(5, 5000),
  unansweredWrites: fc.constantFrom(0, 0.3),
});

/** Calls of one second in which all instances serve requests. */
async function serveSecond(fleet: UsageFleet, seed: number): Promise<void> {
  for (let step = 0; step < 10; step += 1) {
    const sinceStartMs = fleet.trueMs % WINDOW_MS;
    const isInside = sinceStartMs >= MARGIN_MS && sinceStartMs < WINDOW_MS - MARGIN_MS;
    const name = fleet.instanceNames[(seed + step) % fleet.instanceNames.length];
    const account = ACCOUNTS[(seed * 7 + step) % ACCOUNTS.length]!;
    if (isInside && name !== undefined) fleet.begin(name, account, (seed + step) % 3);
    await fleet.clock.advance(STEP_MS);
  }
}

function createFleet(seed: number): UsageFleet {
  const fleet = new UsageFleet(seed);
  for (const name of NAMES) fleet.add(name);
  fleet.setHolder('a');
  return fleet;
}

function restart(fleet: UsageFleet, name: string): void {
  fleet.kill(name);
  fleet.add(name);
}

/** Plays events one second apart, and returns the fleet after some quiet time. */
async function play(
  seed: number,
  events: readonly FleetEvent[],
  prepare: (fleet: UsageFleet) => void,
): Promise<UsageFleet> {
  const fleet = createFleet(seed);
  prepare(fleet);
  let copy = fleet.memory.copy();
  for (const event of events) {
    if (event.kind === 'holder') {
      const {holderName} = fleet;
      if (event.former === 'killed' && holderName !== undefined) restart(fleet, holderName);
      if (event.former === 'paused' && holderName !== undefined) fleet.pause(holderName, 6000);
      fleet.setHolder(event.name);
    } else if (event.kind === 'restart') {
      restart(fleet, event.name);
    } else if (event.kind === 'pause') fleet.pause(event.name, event.durationMs);
    else if (event.kind === 'storeDown') fleet.isStoreDown = event.isDown;
    else if (event.kind === 'serviceDown') fleet.isServiceDown = event.isDown;
    else if (event.kind === 'copy') copy = fleet.memory.copy();
    else if (event.kind === 'restore') fleet.memory.restore(copy);
    await serveSecond(fleet, event.kind === 'requests' ? event.seed : 0);
  }
  await fleet.clock.advance(LATE_MS);
  fleet.dispose();
  return fleet;
}

/** Under all faults, no window is reported with two counts, and none with more than its requests. */
function safety(prepare: (fleet: UsageFleet) => void = () => undefined) {
  return fc.asyncProperty(
    fc.integer(),
    faultsArbitrary,
    fc.array(eventArbitrary, {minLength: 20, maxLength: 60, size: 'max'}),
    async (seed, faults, events) => {
      const fleet = await play(seed, events, (created) => {
        Object.assign(created.faults, faults);
        prepare(created);
      });
      expect(fleet.violations).toEqual([]);
      // For up to a second after a suspension, an instance may count in an earlier window.
      if (fleet.hasPaused) return;
      for (const [window, {counts}] of fleet.reports)
        for (const [account, count] of JSON.parse(counts) as [string, number][])
          expect(count).toBeLessThanOrEqual(fleet.truth.get(window)?.get(account) ?? 0);
    },
  );
}

/** Changes of the holder leave a window time to be reported: at most one in two windows. */
const timelinessScenario = fc.record({
  seed: fc.integer(),
  lostMessages: fc.constantFrom(0, 0.1, 0.2),
  messageDelayMs: fc.constantFrom(2, 100),
  holders: fc.array(fc.constantFrom(...NAMES), {minLength: 2, maxLength: 4}),
  /** Seconds after the start of a period in which the holder changes. */
  changeAt: fc.integer({min: 0, max: 9}),
  seeds: fc.array(fc.nat(1000), {minLength: 10, maxLength: 10}),
});

describe('the model of several instances', () => {
  test('finds no window with two counts under faults of network, store, service and processes', async () => {
    await fc.assert(safety(), {seed: 20261206, numRuns: 60});
  }, 60_000);

  test('finds the fault when counts are sent before they are recorded', async () => {
    const result = await fc.check(
      safety((fleet) => (fleet.isSentUnrecorded = true)),
      {seed: 20261206, numRuns: 60, endOnFailure: true},
    );
    expect(result.failed).toBe(true);
  }, 60_000);

  test('finds exact counts in time while store and service work', async () => {
    const property = fc.asyncProperty(timelinessScenario, async (scenario) => {
      const fleet = createFleet(scenario.seed);
      Object.assign(fleet.faults, {...scenario, repeatedMessages: 0.3});
      const first = fleet.window;
      for (const holder of scenario.holders)
        for (const [second, seed] of scenario.seeds.entries()) {
          if (second === scenario.changeAt) fleet.setHolder(holder);
          await serveSecond(fleet, seed);
        }
      const last = fleet.window - 1;
      await fleet.clock.advance(LATE_MS);
      fleet.dispose();
      expect(fleet.violations).toEqual([]);
      for (let window = first; window <= last; window += 1) {
        expect(fleet.reports.get(window)?.counts).toBe(fleet.trueCounts(window));
        expect(fleet.reports.get(window)?.lateMs).toBeLessThan(LATE_MS);
      }
    });
    await fc.assert(property, {seed: 20261206, numRuns: 40});
  }, 60_000);
});
