import {afterEach, describe, expect, test} from 'vitest';
import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {UsageFleet, WINDOW_MS} from '../__fixtures__/usageFleet.js';
import {UsageDuty} from '../usageDuty.js';
import type {UsageStatement} from '../usageStatement.js';

const fleets: UsageFleet[] = [];

afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.dispose();
});

/** A fleet of instances `a`, `b`, … whose first one holds the duty. */
function startFleet(size = 4): UsageFleet {
  const fleet = new UsageFleet();
  fleets.push(fleet);
  for (let number = 0; number < size; number += 1)
    fleet.add(String.fromCharCode('a'.charCodeAt(0) + number));
  fleet.setHolder('a');
  return fleet;
}

/** Statement of an instance that has counted nothing. */
const nothing = {
  lifetime: '1',
  isHolder: false,
  since: 0,
  finalThrough: 0,
  recorded: [],
  windows: [],
} satisfies Partial<UsageStatement>;

/** Sends requests to all instances for a time; their number differs by account and instance. */
async function serve(fleet: UsageFleet, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    // No request begins at the very end of a window, as corrected clocks differ by the delay of messages.
    await fleet.clock.advance(50);
    fleet.instanceNames.forEach((name, index) => {
      fleet.begin(name, 'busy', index + 1);
      if (elapsedMs % 2500 === 100 * index) fleet.begin(name, 'rare');
    });
    await fleet.clock.advance(50);
  }
}

/** Windows from the first to the last one, with their reports in true and stated counts. */
function compare(fleet: UsageFleet, first: number, last: number) {
  const windows = Array.from({length: last - first + 1}, (_, index) => first + index);
  return {
    stated: windows.map((window) => fleet.reports.get(window)?.counts),
    expected: windows.map((window) => fleet.trueCounts(window)),
  };
}

function expectExact(fleet: UsageFleet, first: number, last: number): void {
  const {stated, expected} = compare(fleet, first, last);
  expect(stated).toEqual(expected);
  expect(fleet.violations).toEqual([]);
}

describe('usage reports', () => {
  test('are exact and early from the window of the start on, with one write each', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    await serve(fleet, 31_000);
    expectExact(fleet, first, fleet.window - 1);
    expect(fleet.reports.has(first - 1)).toBe(false);
    for (const {lateMs} of fleet.reports.values()) expect(lateMs).toBeLessThan(1000);
    expect(fleet.storeWrites).toBe(fleet.window - first);
    expect(fleet.storeReads).toBe(1);
  });

  test('of windows without requests are empty', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    await fleet.clock.advance(12_000);
    expect([...fleet.reports.keys()]).toEqual([first, first + 1]);
    expect(fleet.reports.get(first)?.counts).toBe('[]');
  });

  test('do not wait for a killed instance, whose last counts count', async () => {
    const fleet = startFleet();
    await serve(fleet, 5000);
    const window = fleet.window;
    await serve(fleet, 1000);
    fleet.begin('d', 'once');
    await fleet.clock.advance(600);
    fleet.kill('d');
    await serve(fleet, 6000);
    expectExact(fleet, window, window);
    expect(fleet.reports.get(window)?.lateMs).toBeLessThan(2000);
  });

  test('wait at most seven seconds for an instance that is alive and does not state its counts', async () => {
    const fleet = startFleet();
    const window = fleet.window;
    for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 500) {
      fleet.duty('a').receive('silent', [{...nothing, instance: 'silent', since: window}]);
      await fleet.clock.advance(500);
    }
    expect(fleet.reports.get(window)?.lateMs).toBeGreaterThan(6900);
    expect(fleet.reports.get(window)?.lateMs).toBeLessThan(7500);
    expect(fleet.duty('a').totals.incomplete).toBeGreaterThan(0);
  });

  test('contain what a planned stop has counted last', async () => {
    const fleet = startFleet();
    await serve(fleet, 5000);
    const window = fleet.window;
    fleet.begin('d', 'last');
    fleet.stop('d');
    await serve(fleet, 6000);
    expectExact(fleet, window, window);
  });

  // Two of the three have got the holder's counts themselves, the third one has to get them from those.
  test.each(['b', 'c', 'd'])(
    'contain the counts of a holder that was killed before it wrote them, by %s',
    async (successor) => {
      const fleet = startFleet();
      await serve(fleet, 4000);
      const window = fleet.window;
      fleet.begin('a', 'only');
      await fleet.clock.advance(600);
      fleet.kill('a');
      await serve(fleet, 500);
      fleet.setHolder(successor);
      await serve(fleet, 10_000);
      expectExact(fleet, window, fleet.window - 1);
    },
  );

  test('count both lifetimes of an instance that restarts', async () => {
    const fleet = startFleet();
    await serve(fleet, 4000);
    const window = fleet.window;
    fleet.begin('d', 'restarting', 2);
    await fleet.clock.advance(600);
    fleet.kill('d');
    fleet.add('d');
    fleet.begin('d', 'restarting', 3);
    await serve(fleet, 6000);
    expectExact(fleet, window, window);
  });

  test('are the same after a change of the holder that follows the write', async () => {
    const fleet = startFleet();
    fleet.isServiceDown = true;
    const first = fleet.window;
    await serve(fleet, 5500);
    fleet.kill('a');
    fleet.isServiceDown = false;
    fleet.setHolder('b');
    await serve(fleet, 4500);
    expectExact(fleet, first, first);
  });

  test('are the same after a response of the service was lost', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    fleet.faults.unansweredReports = 0.7;
    await serve(fleet, 30_000);
    fleet.faults.unansweredReports = 0;
    await serve(fleet, 10_000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test('do not change when counts arrive after the report', async () => {
    const fleet = startFleet();
    await serve(fleet, 5000);
    const window = fleet.window - 1;
    const before = fleet.reports.get(window);
    fleet
      .duty('a')
      .receive('late', [
        {...nothing, instance: 'late', finalThrough: window, windows: [[window, 9, [['busy', 9]]]]},
      ]);
    await serve(fleet, 5000);
    expect(fleet.reports.get(window)).toBe(before);
    expect(fleet.violations).toEqual([]);
  });

  test('are those of a write that takes effect after the holder has changed', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    fleet.faults.unansweredWrites = 1;
    await serve(fleet, 9000);
    fleet.setHolder('b');
    fleet.faults.unansweredWrites = 0;
    await serve(fleet, 10_000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test.each([
    ['the same holder', 'a'],
    ['another holder', 'b'],
  ])('stay the same when the store loses the record, by %s', async (_, holder) => {
    const fleet = startFleet();
    const copy = fleet.memory.copy();
    const first = fleet.window;
    await serve(fleet, 9500);
    fleet.memory.restore(copy);
    if (holder !== 'a') fleet.setHolder(holder);
    await serve(fleet, 500);
    // A new instance does not know the record that was lost.
    fleet.add('z');
    await serve(fleet, 6000);
    fleet.setHolder('z');
    await serve(fleet, 10_000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test('are not repeated by a new instance after the store lost the record', async () => {
    const fleet = startFleet();
    const copy = fleet.memory.copy();
    const first = fleet.window;
    await serve(fleet, 9500);
    // A killed instance has stated what it counted more than 500 ms before.
    await fleet.clock.advance(600);
    fleet.memory.restore(copy);
    fleet.kill('a');
    fleet.add('z');
    fleet.setHolder('z');
    await serve(fleet, 15_000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test('are sent as they were recorded after the store lost the record', async () => {
    const fleet = startFleet();
    const copy = fleet.memory.copy();
    const first = fleet.window;
    fleet.isServiceDown = true;
    await serve(fleet, 6000);
    await fleet.clock.advance(600);
    fleet.kill('a');
    fleet.memory.restore(copy);
    await serve(fleet, 500);
    fleet.isServiceDown = false;
    fleet.setHolder('b');
    await serve(fleet, 8000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test('wait for the store, and are given up 20 seconds after the end of their window', async () => {
    const fleet = startFleet();
    await serve(fleet, 6000);
    const first = fleet.window;
    fleet.isStoreDown = true;
    await serve(fleet, 30_000);
    fleet.isStoreDown = false;
    await serve(fleet, 5000);
    expect(fleet.reports.has(first)).toBe(false);
    expectExact(fleet, first + 3, fleet.window - 1);
  });

  test('wait for the service in order', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    fleet.isServiceDown = true;
    await serve(fleet, 15_000);
    fleet.isServiceDown = false;
    await serve(fleet, 6000);
    expectExact(fleet, first, fleet.window - 1);
    const numbers = [...fleet.reports.keys()];
    expect(numbers).toEqual(numbers.toSorted((a, b) => a - b));
  });

  test.each([
    ['the holder', 'a'],
    ['another instance', 'c'],
  ])('are correct when the wall clock of %s is wrong', async (_, name) => {
    const fleet = new UsageFleet();
    fleets.push(fleet);
    for (const each of ['a', 'b', 'c', 'd']) fleet.add(each, each === name ? 3_600_000 : 0);
    fleet.setHolder('a');
    await fleet.clock.advance(2000);
    await serve(fleet, 2000);
    const window = fleet.window + 1;
    await serve(fleet, 20_000);
    expectExact(fleet, window, fleet.window - 1);
    expect([...fleet.reports.keys()].every((reported) => reported <= fleet.window)).toBe(true);
  });

  test('contain the counts of an instance whose copy of the store shows a former holder', async () => {
    const fleet = startFleet();
    await serve(fleet, 4000);
    fleet.cutFromStore('d');
    fleet.setHolder('b');
    const window = fleet.window;
    await serve(fleet, 15_000);
    expectExact(fleet, window, fleet.window - 1);
  });

  test('contain what a suspended instance counts after it continues', async () => {
    const fleet = startFleet();
    await serve(fleet, 6000);
    fleet.pause('d', 4000);
    await serve(fleet, 5000);
    const window = fleet.window + 1;
    await serve(fleet, 15_000);
    expectExact(fleet, window, fleet.window - 1);
  });

  test('are exact after the wall clocks of an instance and of the holder were set', async () => {
    const fleet = startFleet();
    const first = fleet.window;
    await serve(fleet, 2000);
    fleet.stepWallClock('a', 7000);
    fleet.stepWallClock('d', -3_600_000);
    await serve(fleet, 90_000);
    expectExact(fleet, first, fleet.window - 1);
  });

  test('are exact with 25 instances, 24 accounts with long names, and lost messages', async () => {
    const fleet = startFleet(25);
    fleet.faults.lostMessages = 0.2;
    fleet.faults.repeatedMessages = 0.1;
    fleet.faults.messageDelayMs = 150;
    const first = fleet.window;
    for (let step = 0; step < 160; step += 1) {
      const name = fleet.instanceNames[step % 25]!;
      for (let account = 0; account < 24; account += 1)
        fleet.begin(name, `account-with-a-rather-long-name-${account}`, (step * account) % 5);
      await fleet.clock.advance(100);
    }
    await fleet.clock.advance(WINDOW_MS);
    expectExact(fleet, first, fleet.window - 1);
    expect(Math.max(...fleet.messageBytes)).toBeGreaterThan(700);
  });
});

describe('an instance', () => {
  test('runs no timer, sends and calls nothing before it starts', async () => {
    const fail = () => {
      throw new Error('called before the start');
    };
    const clock = new VirtualClock();
    const duty = new UsageDuty({
      clock,
      wallTimeMs: () => clock.now(),
      random: () => 0.5,
      logger: silentLogger,
      reportDefect: (_place, error) => {
        throw error;
      },
      self: 'a',
      windowMs: WINDOW_MS,
      lateMs: 10_000,
      lease: {current: fail, loseByFence: fail},
      report: fail,
      store: {get: fail, write: fail},
      key: 'duties/usage',
      peers: fail,
      send: fail,
      holderName: fail,
    });
    duty.counter.recordBegun('busy');
    expect(clock.step()).toBe(false);
    duty[Symbol.dispose]();
    await clock.advance(20_000);
  });
});
